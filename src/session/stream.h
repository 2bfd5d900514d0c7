/**
 * @file stream.h
 * Helper functions for TCP streams and addresses on the event loop.
 */
#pragma once

#include "toucanscale/types.h"

#include <uv.h>

G_BEGIN_DECLS

/** Sends a copy of the bytes; errors are reported by the next read. */
void tou_stream_send (uv_stream_t *stream, const char *data, gsize len);

/** Called when @a len bytes that were kept have been written or dropped. */
typedef void (*TouStreamWritten) (gpointer user_data, gsize len);

/**
 * The same; returns the number of bytes that could not be written and are kept
 * until @a on_written.
 */
gsize tou_stream_send_counted (uv_stream_t *stream, const char *data, gsize len,
                               TouStreamWritten on_written, gpointer user_data);

/** uv_alloc_cb with one shared buffer: the loop reads one stream at a time. */
void tou_stream_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf);

/**
 * Parses "ip:port"; port 0 selects an ephemeral port.
 *
 * @return TOU_E_SETTING_INVALID with a message
 */
int tou_stream_address (struct sockaddr_in *out, const TouName *address);
/** The inverse of tou_stream_address(). */
int tou_stream_name (TouName *out, const struct sockaddr_in *address);

/**
 * Listens on @a address; @a server's data is set to @a user_data.
 *
 * @return TOU_E_IO or TOU_E_SETTING_INVALID with a message
 */
int tou_stream_listen (uv_loop_t *loop, uv_tcp_t *server,
                       const TouName *address, int backlog, gpointer user_data,
                       uv_connection_cb on_connection);

/** Sets TCP_NODELAY and TCP_USER_TIMEOUT. */
void tou_stream_tune (uv_tcp_t *tcp);

G_END_DECLS
