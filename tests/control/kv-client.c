#include "kv-standin.h"

struct PlatHttp
{
  KvStandin *kv;
};

int
plat_http_create (PlatHttp **out, uv_loop_t *loop)
{
  (void)loop;
  *out = g_new0 (PlatHttp, 1);
  (*out)->kv = kv_latest ();
  return TOU_OK;
}

void
plat_http_destroy (PlatHttp *http)
{
  g_free (http);
}

void
plat_http_call (PlatHttp *http, const PlatHttpCall *request, PlatHttpDone done,
                gpointer user_data)
{
  kv_call (http->kv, request, done, user_data);
}
