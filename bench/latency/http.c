/* Target that sends statements to a proxy over HTTP. libcurl would add several
   times the CPU time of the plain sockets that libpq uses, so the requests are
   formatted here, and only the responses that the proxy sends are parsed. */
#include "target.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RESPONSE_MAX 4096
#define TOKEN_HEADER "X-Toucanscale-Session: "

typedef struct
{
  int fd;
  gsize len;
  char response[RESPONSE_MAX];
  char *token; /* each connection is one session */
} HttpConn;

static void
conn_open (HttpConn *conn, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int one = 1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((guint16)port);
  conn->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect (conn->fd, (struct sockaddr *)&address, sizeof address) != 0)
    g_error ("cannot connect to the proxy: %s", g_strerror (errno));
  setsockopt (conn->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

static int
http_fd (gpointer data, guint i)
{
  return ((HttpConn *)data)[i].fd;
}

static void
http_send (gpointer data, guint i, gboolean read, guint number)
{
  HttpConn *conn = &((HttpConn *)data)[i];
  char body[256];
  char request[2048];
  int len;

  if (read)
    len = g_snprintf (body, sizeof body,
                      "{\"sql\":\"SELECT body FROM record WHERE id=$1\","
                      "\"params\":[\"r%u\"],\"read\":true}",
                      number % LATENCY_RECORDS);
  else
    len = g_snprintf (body, sizeof body,
                      "{\"sql\":\"INSERT INTO record (id, body) VALUES "
                      "($1, $2)\",\"params\":[\"h%u\",\"text\"]}",
                      number);
  len = g_snprintf (request, sizeof request,
                    "POST /v1/groups/" TOU_PROCESS_GROUP "/statements HTTP/1.1"
                    "\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\n"
                    "X-Toucanscale-Rank: urgent\r\n%s%s%s"
                    "Content-Length: %d\r\n\r\n%s",
                    conn->token != NULL ? TOKEN_HEADER : "",
                    conn->token != NULL ? conn->token : "",
                    conn->token != NULL ? "\r\n" : "", len, body);
  conn->len = 0;
  if (send (conn->fd, request, (gsize)len, MSG_NOSIGNAL) != len)
    g_error ("cannot send a request: %s", g_strerror (errno));
}

static void
conn_store_token (HttpConn *conn)
{
  const char *line = strstr (conn->response, TOKEN_HEADER);

  if (line == NULL)
    return;
  line += strlen (TOKEN_HEADER);
  g_free (conn->token);
  conn->token = g_strndup (line, strcspn (line, "\r"));
}

static TargetState
http_receive (gpointer data, guint i)
{
  HttpConn *conn = &((HttpConn *)data)[i];
  ssize_t received = recv (conn->fd, conn->response + conn->len,
                           sizeof conn->response - 1 - conn->len, MSG_DONTWAIT);
  const char *length;
  const char *body;

  if (received < 0 && errno == EAGAIN)
    return TARGET_PENDING;
  if (received <= 0)
    g_error ("the proxy closed a connection");
  conn->len += (gsize)received;
  conn->response[conn->len] = '\0';
  body = strstr (conn->response, "\r\n\r\n");
  length = strstr (conn->response, "Content-Length: ");
  if (body == NULL || length == NULL)
    return TARGET_PENDING;
  body += strlen ("\r\n\r\n");
  if (conn->len - (gsize)(body - conn->response)
      < strtoul (length + strlen ("Content-Length: "), NULL, 10))
    return TARGET_PENDING;
  if (strstr (body, "\"outcome\":\"done\"") == NULL)
    return TARGET_FAILED;
  conn_store_token (conn);
  return TARGET_DONE;
}

void
target_open_http (Target *out, const TouProcessFleet *fleet, guint n)
{
  HttpConn *conns = g_new0 (HttpConn, n);

  for (guint i = 0; i < n; i++)
    conn_open (&conns[i], fleet->client_port[0]);
  *out = (Target){ "proxy", conns, n, http_fd, http_send, http_receive };
}

void
target_close_http (Target *target)
{
  HttpConn *conns = target->data;

  for (guint i = 0; i < target->n; i++)
    {
      close (conns[i].fd);
      g_free (conns[i].token);
    }
  g_free (conns);
}
