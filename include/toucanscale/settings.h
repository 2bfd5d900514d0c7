/**
 * @file settings.h
 * Settings of the daemon; flags, environment variables, checks and
 * documentation are derived from one table.
 */
#pragma once

#include "toucanscale/core.h"
#include "toucanscale/token.h"

G_BEGIN_DECLS

/** Mode of operation selected by flags. */
typedef enum
{
  TOU_SETTINGS_RUN,
  TOU_SETTINGS_CHECK_CONFIG, /**< check the settings and exit */
  TOU_SETTINGS_PRINT_DOC     /**< print docs/settings.md and exit */
} TouSettingsMode;

/** All settings; strings are owned, unset ones are NULL. */
typedef struct
{
  TouSettingsMode mode;
  TouCoreSettings core; /**< incarnation is not a setting */

  char *callers_listen; /**< "ip:port" */
  char *operators_listen;
  char *peers_listen;
  char *tls_cert_file;
  char *tls_key_file;
  char *curve_public_key; /**< Z85 text */
  char *curve_secret_key;
  char **curve_accepted_keys; /**< NULL-terminated */
  TouTokenKeys token_keys;
  char *caller_token; /**< NULL: clients need no token */
  char *operator_token;

  char *database_user;
  char *database_password;
  char *database_name;
  guint64 connect_timeout_us;
  char *store_url;
  char *store_ca_file;
  char *vm_list_url;

  gsize max_body;    /**< bytes */
  gsize max_header;  /**< bytes of all headers of a request */
  gsize max_message; /**< bytes of a message between proxies */
  guint max_connections;
  guint max_operator_connections;
  guint peer_buffer;   /**< queued messages per peer */
  guint ring_capacity; /**< items per lane */
  guint64 max_deadline_us;
  guint64 idle_timeout_us; /**< of a keep-alive connection */
  GLogLevelFlags log_level;
} TouSettings;

/**
 * Reads flags and environment variables (flags take precedence) and checks
 * them.
 *
 * Unknown flags and --help end the process, as usual with argp. Fails with
 * TOU_E_SETTING_INVALID; the status message names the flag, the permitted range
 * and the value, except for secrets. All settings are present only in the modes
 * TOU_SETTINGS_RUN and TOU_SETTINGS_CHECK_CONFIG.
 */
int tou_settings_create (TouSettings **out, int argc, char **argv);

/** Frees the settings; NULL is ignored. */
void tou_settings_destroy (TouSettings *settings);

/** Writes the content of docs/settings.md to @a out. */
void tou_settings_format_doc (TouStr *out);

G_END_DECLS
