/**
 * @file settings.h
 * Settings of basildockd: flags and BASILDOCK_ environment variables, which
 * are validated at startup.
 */
#ifndef BD_SETTINGS_H
#define BD_SETTINGS_H

#include "basildock.h"

enum bd_role
{
  BD_ROLE_ENTRY = 0,
  BD_ROLE_SIDECAR = 1
};

/** All text is owned by the settings; text that is not set is "". */
struct bd_settings
{
  enum bd_role role;
  const char *instance;      /**< --instance */
  const char *zone;          /**< --zone */
  const char *peer_address;  /**< --peer-address IP:PORT, for other daemons */
  const char *http_address;  /**< --http-address IP:PORT, callers (entry) */
  const char *admin_address; /**< --admin-address IP:PORT */
  const char *platform_url;  /**< --platform-url, e.g. http://127.0.0.1:1 */
  const char *seeds; /**< --seeds IP:PORT,…, entries to join through */
  const char *tls_certificate; /**< --tls-certificate FILE */
  const char *policy; /**< --policy late-binding|random|better-of-two */
  /* Settings of the sidecar role. */
  const char *engine_url; /**< --engine-url */
  const char *pool;       /**< --pool, the model or service of the engine */
  int32_t slots;          /**< --slots */
  int32_t queue_items;    /**< --queue-items */
  int64_t queue_bytes;    /**< --queue-bytes */
  int64_t answer_bytes;   /**< --answer-bytes, for recorded answers */
  int32_t connect_timeout_ms;    /**< --connect-timeout-ms */
  int32_t first_byte_timeout_ms; /**< --first-byte-timeout-ms */
  int32_t idle_timeout_ms;       /**< --idle-timeout-ms */
  int32_t confirm_window_ms;     /**< --confirm-window-ms */
  /* Settings of the entry role. */
  int32_t max_streams; /**< --max-streams */
  int32_t body_bytes;  /**< --body-bytes, largest request body */
  int32_t subset_size; /**< --subset-size */
  /* Settings of both roles. */
  int32_t drain_timeout_s; /**< --drain-timeout-s; 0: no limit */
  int32_t log_level;       /**< --log-level 3…7 */
  int32_t log_lines_per_s; /**< --log-lines-per-s; 0: unlimited */
  /* Secrets, read from the environment or a file only. */
  const char *curve_secret; /**< BASILDOCK_CURVE_SECRET[_FILE], Z85 */
  const char *curve_public; /**< BASILDOCK_CURVE_PUBLIC, Z85 */
  /** BASILDOCK_TOKEN_KEY[_FILE]: 1 to 3 keys of 64 hex digits, separated by
      commas.  The first one seals idempotency keys, all of them open. */
  const char *token_key;
  void *owned; /**< Private. */
};

/**
 * Reads ARGV and the environment.  Returns BD_OK; 1 when the program should
 * exit successfully (--help, --version, --check-settings); BD_ERR_SETTING
 * after an event on standard error that names the setting and the values
 * accepted; or BD_ERR_NOMEM.
 */
int bd_settings_read (int argc, char **argv, struct bd_settings *settings);

void bd_settings_release (struct bd_settings *settings);

/** Description of a setting, for --help and the documentation. */
struct bd_setting_info
{
  const char *flag;     /**< Without the dashes; NULL: environment only. */
  const char *variable; /**< Environment variable. */
  const char *range;    /**< Description of the values accepted. */
  const char *default_value; /**< Default value; "": none. */
  const char *help;
};

/** Describes the setting at INDEX.  Returns false beyond the last one. */
bool bd_setting_info (size_t index, struct bd_setting_info *info);

#endif
