/**
 * @file settings.h
 * Settings of basildockd: flags and BASILDOCK_ environment variables, checked
 * at the start.
 */
#ifndef BD_SETTINGS_H
#define BD_SETTINGS_H

#include "basildock.h"

enum bd_role
{
  BD_ROLE_ENTRY = 0,
  BD_ROLE_SIDECAR = 1
};

/** All text is owned by the settings; unset text is "". */
struct bd_settings
{
  enum bd_role role;
  const char *instance;      /**< --instance */
  const char *zone;          /**< --zone */
  const char *peer_address;  /**< --peer-address IP:PORT, for our processes */
  const char *http_address;  /**< --http-address IP:PORT, callers (entry) */
  const char *admin_address; /**< --admin-address IP:PORT */
  const char *platform_url;  /**< --platform-url, e.g. http://127.0.0.1:1 */
  const char *seeds;         /**< --seeds IP:PORT,… of entries */
  const char *tls_certificate; /**< --tls-certificate FILE */
  const char *policy; /**< --policy late-binding|random|better-of-two */
  /* Sidecar. */
  const char *engine_url; /**< --engine-url */
  const char *pool;       /**< --pool, the model or service behind */
  int32_t slots;          /**< --slots */
  int32_t queue_items;    /**< --queue-items */
  int64_t queue_bytes;    /**< --queue-bytes */
  int64_t answer_bytes;   /**< --answer-bytes for recorded answers */
  int32_t connect_timeout_ms;
  int32_t first_byte_timeout_ms;
  int32_t idle_timeout_ms;
  int32_t confirm_window_ms; /**< --confirm-window-ms */
  /* Entry. */
  int32_t max_streams; /**< --max-streams */
  int32_t body_bytes;  /**< --body-bytes, largest request body */
  int32_t subset_size; /**< --subset-size */
  /* Both. */
  int32_t drain_timeout_s; /**< --drain-timeout-s; 0: no limit */
  int32_t log_level;       /**< --log-level 3…7 */
  int32_t log_lines_per_s; /**< --log-lines-per-s; 0: any number */
  /* Secrets: by environment or file only. */
  const char *curve_secret; /**< BASILDOCK_CURVE_SECRET[_FILE], Z85 */
  const char *curve_public; /**< BASILDOCK_CURVE_PUBLIC, Z85 */
  /** BASILDOCK_TOKEN_KEY[_FILE]: 1 to 3 keys of 64 hex digits, separated by
      commas; the first seals. */
  const char *token_key;
  void *owned; /**< Private. */
};

/**
 * Reads ARGV and the environment.  Returns BD_OK; 1 when the program should
 * end well (--help, --version, --check-settings); or BD_ERR_SETTING after
 * one line on standard error that names the setting and its range.
 */
int bd_settings_read (int argc, char **argv, struct bd_settings *settings);

void bd_settings_release (struct bd_settings *settings);

/** What the help and the pages say of one setting. */
struct bd_setting_info
{
  const char *flag;     /**< Without the dashes; NULL: environment only. */
  const char *variable; /**< Name in the environment. */
  const char *range;    /**< What is accepted. */
  const char *standard; /**< Value when none is given; "": none. */
  const char *help;
};

/** Describes the setting at INDEX.  False beyond the last one. */
bool bd_setting_info (size_t index, struct bd_setting_info *info);

#endif
