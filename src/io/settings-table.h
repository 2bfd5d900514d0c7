/**
 * @file settings-table.h
 * The table of settings and the parsing of single values.
 */
#pragma once

#include "toucanscale/settings.h"

G_BEGIN_DECLS

/** Syntax of a value and type of the field that stores it. */
typedef enum
{
  TOU_SETTING_NAME,     /**< TouName; min and max are lengths */
  TOU_SETTING_TEXT,     /**< char *; min and max are lengths */
  TOU_SETTING_SECRET,   /**< like TEXT, never printed; "@FILE": read from a
                             file */
  TOU_SETTING_ADDRESS,  /**< char *: "ip:port" */
  TOU_SETTING_URL,      /**< char *: http or https */
  TOU_SETTING_FILE,     /**< char *: a readable file */
  TOU_SETTING_Z85,      /**< char *: CURVE key of 40 characters, secret */
  TOU_SETTING_Z85_LIST, /**< char **: comma-separated CURVE public keys */
  TOU_SETTING_HEX_KEY,  /**< 64 digits, appended to token_keys; secret */
  TOU_SETTING_PEER,     /**< TouName: "ip:port" */
  TOU_SETTING_SEEDS,    /**< core.seeds: comma-separated "ip:port" */
  TOU_SETTING_MS,       /**< guint64 microseconds, given in milliseconds */
  TOU_SETTING_UINT,     /**< guint */
  TOU_SETTING_BYTES,    /**< gsize */
  TOU_SETTING_BYTES32,  /**< guint, number of bytes */
  TOU_SETTING_LEVEL     /**< GLogLevelFlags */
} TouSettingType;

typedef struct
{
  const char *flag; /**< name without the dashes */
  const char *help;
  const char *default_value; /**< NULL: no default */
  gsize offset;              /**< of the field in TouSettings */
  guint64 min;
  guint64 max;
  TouSettingType type;
  gboolean required;
} TouSetting;

extern const TouSetting tou_settings_table[];
extern const guint tou_settings_count;

/** Returns TRUE if the value must not appear in messages. */
gboolean tou_setting_is_secret (const TouSetting *setting);

/** Returns the unit, or NULL. */
const char *tou_setting_unit (const TouSetting *setting);

/** Returns the permitted range as text, owned by the caller. */
char *tou_setting_range (const TouSetting *setting);

/** Returns the name of the environment variable, owned by the caller. */
char *tou_setting_variable (const TouSetting *setting);

/** Parses @a value into its field; fails with TOU_E_SETTING_INVALID. */
int tou_setting_apply (const TouSetting *setting, TouSettings *settings,
                       const char *value);

G_END_DECLS
