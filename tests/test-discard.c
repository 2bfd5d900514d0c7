/* Guards against requests that outlive their client or their timeout. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "http.h"

#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* The server accepts connections, and does not read. */
typedef struct
{
  uv_loop_t loop;
  uv_tcp_t listener;
  uv_tcp_t peer;
  gboolean accepted;
  gboolean answered;
} Server;

static void
server_on_connection (uv_stream_t *listener, int status)
{
  Server *server = listener->data;

  assert_int_equal (status, 0);
  uv_tcp_init (&server->loop, &server->peer);
  server->peer.data = server;
  assert_int_equal (uv_accept (listener, (uv_stream_t *)&server->peer), 0);
  server->accepted = TRUE;
}

/* A reset connection is closed; one that the other side has finished still
   delivers what was sent. */
static int
server_peer_state (const Server *server)
{
  struct tcp_info info;
  socklen_t len = sizeof info;
  uv_os_fd_t fd;

  assert_int_equal (uv_fileno ((const uv_handle_t *)&server->peer, &fd), 0);
  assert_int_equal (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &len), 0);
  return info.tcpi_state;
}

static void
server_on_answer (gpointer user_data, const PlatHttpReply *reply)
{
  assert_int_equal (reply->status, 0);
  ((Server *)user_data)->answered = TRUE;
}

/* Starts the server and sends it a request. */
static PlatHttp *
server_start (Server *server, guint64 timeout_us)
{
  struct sockaddr_in address;
  int len = sizeof address;
  PlatHttpCall call = { "POST", NULL, "{}", NULL, timeout_us, TRUE };
  PlatHttp *http;
  char *url;

  memset (server, 0, sizeof *server);
  uv_loop_init (&server->loop);
  uv_ip4_addr ("127.0.0.1", 0, &address);
  uv_tcp_init (&server->loop, &server->listener);
  server->listener.data = server;
  uv_tcp_bind (&server->listener, (const struct sockaddr *)&address, 0);
  uv_tcp_getsockname (&server->listener, (struct sockaddr *)&address, &len);
  uv_listen ((uv_stream_t *)&server->listener, 1, server_on_connection);
  assert_int_equal (plat_http_create (&http, &server->loop), TOU_OK);
  url = g_strdup_printf ("http://127.0.0.1:%u/promote",
                         g_ntohs (address.sin_port));
  call.url = url;
  plat_http_call (http, &call, server_on_answer, server);
  g_free (url);
  return http;
}

static void
server_stop (Server *server)
{
  uv_close ((uv_handle_t *)&server->peer, NULL);
  uv_close ((uv_handle_t *)&server->listener, NULL);
  uv_run (&server->loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&server->loop), 0);
}

/* Guards against an order that arrives after its timeout, when another leader
   may have given the next one: the kernel goes on sending bytes of a connection
   that was closed, as soon as a cut link works again. */
static void
test_unsent_bytes_are_discarded (void **state)
{
  Server server;
  PlatHttp *http = server_start (&server, 200 * TOU_US_PER_MS);

  (void)state;
  while (!server.answered || !server.accepted)
    uv_run (&server.loop, UV_RUN_ONCE);
  assert_int_equal (server_peer_state (&server), TCP_CLOSE);
  plat_http_destroy (http);
  server_stop (&server);
}

/* Guards against an abort in the event loop, which goes on polling the closed
   socket of a request that was in progress when its client was destroyed. */
static void
test_request_in_progress_ends_with_client (void **state)
{
  Server server;
  PlatHttp *http = server_start (&server, 60 * TOU_US_PER_S);

  (void)state;
  while (!server.accepted)
    uv_run (&server.loop, UV_RUN_ONCE);
  plat_http_destroy (http);
  assert_true (server.answered);
  server_stop (&server);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_unsent_bytes_are_discarded),
    cmocka_unit_test (test_request_in_progress_ends_with_client),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
