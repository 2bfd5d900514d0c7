/* Passes arbitrary headers and bodies to the parser of client requests. The
   first byte of the input is the kind of request; six lines with header values
   follow; the rest is the body. An accepted request must be within the limits.
 */
#include "http-request.h"

#include <stdint.h>
#include <string.h>

/* Limit of the statement and its parameters together, in bytes. */
#define FUZZ_STATEMENT_LIMIT 256

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Removes the first line from the input; the caller owns the result. */
static char *
take_line (const char **data, size_t *size)
{
  const char *end = memchr (*data, '\n', *size);
  size_t len = end != NULL ? (size_t)(end - *data) : *size;
  char *line = g_strndup (*data, len);

  *data += len;
  *size -= len;
  if (end != NULL)
    {
      (*data)++;
      (*size)--;
    }
  return line;
}

static void
fill_request (struct _u_request *request, const char *data, size_t size)
{
  static const char *const headers[]
      = { "X-Toucanscale-Rank", "X-Toucanscale-Read", "X-Toucanscale-Deadline",
          "Idempotency-Key", TOU_HTTP_SESSION_HEADER };
  char *line;

  for (guint i = 0; i < G_N_ELEMENTS (headers); i++)
    {
      line = take_line (&data, &size);
      if (line[0] != '\0')
        u_map_put (request->map_header, headers[i], line);
      g_free (line);
    }
  line = take_line (&data, &size);
  u_map_put (request->map_url, "group", line);
  u_map_put (request->map_url, "id", line);
  u_map_put (request->map_cookie, TOU_HTTP_COOKIE_PREFIX "1", line);
  g_free (line);
  ulfius_set_binary_body_request (request, data, size);
}

static void
check_accepted (const TouRequest *request)
{
  gsize len = request->statement.sql.len;

  for (guint i = 0; i < request->statement.n_params; i++)
    len += request->statement.params[i].len;
  if (len > FUZZ_STATEMENT_LIMIT || request->rank >= TOU_RANK_COUNT
      || request->statement.n_params > TOU_STATEMENT_MAX_PARAMS
      || request->deadline_us > TOU_US_PER_S)
    g_error ("a request that exceeds the limits was accepted");
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const TouTokenKeys keys = { 1, { { 1 } } };
  static const TouHttpRequestLimits limits
      = { &keys, FUZZ_STATEMENT_LIMIT, TOU_US_PER_S };
  struct _u_request request;
  TouRequest parsed;

  if (size == 0)
    return 0;
  ulfius_init_request (&request);
  fill_request (&request, (const char *)data + 1, size - 1);
  /* With the cookie, most inputs are refused for an invalid token; without it,
     the later checks are reached. */
  if ((data[0] & 8) != 0)
    u_map_remove_from_key (request.map_cookie, TOU_HTTP_COOKIE_PREFIX "1");
  if (tou_http_request_parse (&parsed, data[0] % (TOU_REQUEST_ROLLBACK + 1),
                              &request, &limits, 0)
      == TOU_OK)
    check_accepted (&parsed);
  tou_request_clear (&parsed);
  ulfius_clean_request (&request);
  return 0;
}
