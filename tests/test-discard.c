/* Guards against an order that arrives after its timeout, when another leader
 * may have given the next one: the kernel goes on sending bytes of a connection
 * that was closed, as soon as a cut link works again. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "http.h"

#include <netinet/tcp.h>
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

static void
test_unsent_bytes_are_discarded (void **state)
{
  Server server = { 0 };
  struct sockaddr_in address;
  int len = sizeof address;
  PlatHttpCall call = { "POST", NULL, "{}", NULL, 200 * TOU_US_PER_MS, TRUE };
  PlatHttp *http;
  char *url;

  (void)state;
  uv_loop_init (&server.loop);
  uv_ip4_addr ("127.0.0.1", 0, &address);
  uv_tcp_init (&server.loop, &server.listener);
  server.listener.data = &server;
  uv_tcp_bind (&server.listener, (const struct sockaddr *)&address, 0);
  uv_tcp_getsockname (&server.listener, (struct sockaddr *)&address, &len);
  uv_listen ((uv_stream_t *)&server.listener, 1, server_on_connection);
  assert_int_equal (plat_http_create (&http, &server.loop), TOU_OK);
  url = g_strdup_printf ("http://127.0.0.1:%u/promote",
                         g_ntohs (address.sin_port));
  call.url = url;
  plat_http_call (http, &call, server_on_answer, &server);
  while (!server.answered || !server.accepted)
    uv_run (&server.loop, UV_RUN_ONCE);
  assert_int_equal (server_peer_state (&server), TCP_CLOSE);
  uv_close ((uv_handle_t *)&server.peer, NULL);
  uv_close ((uv_handle_t *)&server.listener, NULL);
  plat_http_destroy (http);
  uv_run (&server.loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&server.loop), 0);
  g_free (url);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_unsent_bytes_are_discarded),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
