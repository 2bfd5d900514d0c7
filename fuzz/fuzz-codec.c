/* Passes arbitrary bytes to the decoder of messages between proxies. Encoding
   an accepted message must give bytes that decode and encode to the same bytes.
 */
#include "toucanscale/message.h"

#include <stdint.h>

/* Size limit of the decoder, in bytes. */
#define FUZZ_MAX_LEN (1 << 20)

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  TouMessage *message = NULL;
  TouMessage *redecoded = NULL;
  TouStr encoded;
  TouStr reencoded;

  if (tou_message_decode (&message, (const char *)data, size, FUZZ_MAX_LEN)
      != TOU_OK)
    return 0;
  if (tou_message_encode (&encoded, message) != TOU_OK)
    g_error ("accepted message cannot be encoded: %s", tou_status_message ());
  if (tou_message_decode (&redecoded, encoded.data, encoded.len, G_MAXSIZE)
      != TOU_OK)
    g_error ("encoded message cannot be decoded: %s", tou_status_message ());
  if (tou_message_encode (&reencoded, redecoded) != TOU_OK
      || !tou_str_equal (&encoded, &reencoded))
    g_error ("message changed by encoding and decoding");
  tou_str_clear (&encoded);
  tou_str_clear (&reencoded);
  tou_message_destroy (message);
  tou_message_destroy (redecoded);
  return 0;
}
