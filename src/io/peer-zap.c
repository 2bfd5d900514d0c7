#include "peer-zap.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <zmq.h>

/* Endpoint, version and status codes defined by RFC 27. */
#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_VERSION "1.0"
#define ZAP_STATUS_OK "200"
#define ZAP_STATUS_DENIED "400"

/* Maximum length of a request frame; the peer chooses some frames. */
#define ZAP_MAX_FRAME 255

/* Frames of a request, in order. A CURVE request ends with the peer's key. */
enum
{
  ZAP_FRAME_VERSION,
  ZAP_FRAME_REQUEST_ID,
  ZAP_FRAME_DOMAIN,
  ZAP_FRAME_ADDRESS,
  ZAP_FRAME_ROUTING_ID,
  ZAP_FRAME_MECHANISM,
  ZAP_FRAME_KEY,
  ZAP_FRAME_COUNT
};

typedef struct
{
  guint8 data[ZAP_MAX_FRAME];
  int len; /* -1 if the frame is absent or too long */
} ZapFrame;

struct TouPeerZap
{
  void *socket;
  pthread_t thread;
  guint n_keys;
  guint8 (*keys)[TOU_PEER_KEY_BYTES];
  _Atomic guint64 refused;
};

/* Receives the frames of a request; FALSE if the context is shut down. */
static gboolean
zap_receive (void *socket, ZapFrame frames[ZAP_FRAME_COUNT])
{
  int more = 1;
  size_t size = sizeof more;

  for (guint i = 0; i < ZAP_FRAME_COUNT; i++)
    frames[i].len = -1;
  for (guint i = 0; more; i++)
    {
      guint8 data[ZAP_MAX_FRAME];
      int len = zmq_recv (socket, data, sizeof data, 0);

      if (len < 0 && errno == EINTR)
        {
          i--;
          continue;
        }
      if (len < 0)
        return FALSE;
      if (i < ZAP_FRAME_COUNT && len <= ZAP_MAX_FRAME)
        {
          memcpy (frames[i].data, data, (gsize)len);
          frames[i].len = len;
        }
      if (zmq_getsockopt (socket, ZMQ_RCVMORE, &more, &size) != 0)
        return FALSE;
    }
  return TRUE;
}

static gboolean
frame_equals (const ZapFrame *frame, const char *text)
{
  gsize len = strlen (text);

  return frame->len == (int)len && memcmp (frame->data, text, len) == 0;
}

static gboolean
zap_accepts (const TouPeerZap *zap, const ZapFrame frames[ZAP_FRAME_COUNT])
{
  if (!frame_equals (&frames[ZAP_FRAME_VERSION], ZAP_VERSION)
      || !frame_equals (&frames[ZAP_FRAME_DOMAIN], TOU_PEER_ZAP_DOMAIN)
      || !frame_equals (&frames[ZAP_FRAME_MECHANISM], "CURVE")
      || frames[ZAP_FRAME_KEY].len != TOU_PEER_KEY_BYTES)
    return FALSE;
  for (guint i = 0; i < zap->n_keys; i++)
    if (memcmp (zap->keys[i], frames[ZAP_FRAME_KEY].data, TOU_PEER_KEY_BYTES)
        == 0)
      return TRUE;
  return FALSE;
}

/* Sends a reply: version, request id, status, text, user id and metadata. */
static void
zap_reply (void *socket, const ZapFrame *request_id, gboolean accepted)
{
  const char *status = accepted ? ZAP_STATUS_OK : ZAP_STATUS_DENIED;
  const char *text = accepted ? "accepted" : "key is not accepted";

  zmq_send (socket, ZAP_VERSION, strlen (ZAP_VERSION), ZMQ_SNDMORE);
  zmq_send (socket, request_id->data, (gsize)MAX (request_id->len, 0),
            ZMQ_SNDMORE);
  zmq_send (socket, status, strlen (status), ZMQ_SNDMORE);
  zmq_send (socket, text, strlen (text), ZMQ_SNDMORE);
  zmq_send (socket, "", 0, ZMQ_SNDMORE);
  zmq_send (socket, "", 0, 0);
}

static void *
zap_run (void *data)
{
  TouPeerZap *zap = data;
  ZapFrame frames[ZAP_FRAME_COUNT];

  while (zap_receive (zap->socket, frames))
    {
      gboolean accepted = zap_accepts (zap, frames);

      if (!accepted)
        atomic_fetch_add (&zap->refused, 1);
      zap_reply (zap->socket, &frames[ZAP_FRAME_REQUEST_ID], accepted);
    }
  zmq_close (zap->socket);
  return NULL;
}

int
tou_peer_zap_create (TouPeerZap **out, void *context,
                     const guint8 (*keys)[TOU_PEER_KEY_BYTES], guint n_keys)
{
  TouPeerZap *zap = g_new0 (TouPeerZap, 1);
  int linger = 0;

  zap->n_keys = n_keys;
  zap->keys = g_memdup2 (keys, n_keys * sizeof keys[0]);
  zap->socket = zmq_socket (context, ZMQ_REP);
  if (zap->socket != NULL
      && zmq_setsockopt (zap->socket, ZMQ_LINGER, &linger, sizeof linger) == 0
      && zmq_bind (zap->socket, ZAP_ENDPOINT) == 0
      && pthread_create (&zap->thread, NULL, zap_run, zap) == 0)
    {
      *out = zap;
      return TOU_OK;
    }
  if (zap->socket != NULL)
    zmq_close (zap->socket);
  g_free (zap->keys);
  g_free (zap);
  return tou_status_set (TOU_E_IO, "cannot start the key authentication: %s",
                         zmq_strerror (zmq_errno ()));
}

guint64
tou_peer_zap_refused_count (const TouPeerZap *zap)
{
  return atomic_load (&zap->refused);
}

void
tou_peer_zap_destroy (TouPeerZap *zap)
{
  if (zap == NULL)
    return;
  pthread_join (zap->thread, NULL);
  g_free (zap->keys);
  g_free (zap);
}
