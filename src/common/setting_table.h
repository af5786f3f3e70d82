/**
 * @file setting_table.h
 * The table of settings: names, parsers, ranges.  Private to settings.c and
 * setting_table.c.
 */
#ifndef BD_SETTING_TABLE_H
#define BD_SETTING_TABLE_H

#include "common/settings.h"

/** Number of settings. */
#define BD_SETTING_COUNT 29

struct bd_setting;

/** Parses TEXT and stores the value in SETTINGS.  Returns false when TEXT is
    not valid. */
typedef bool (*bd_setting_parser) (const struct bd_setting *setting,
                                   const char *text,
                                   struct bd_settings *settings);

/** The roles that require a setting. */
enum bd_setting_roles
{
  BD_SETTING_OPTIONAL = 0,
  BD_SETTING_ENTRY = 1,
  BD_SETTING_SIDECAR = 2,
  BD_SETTING_REQUIRED = BD_SETTING_ENTRY | BD_SETTING_SIDECAR
};

/** One setting. */
struct bd_setting
{
  struct bd_setting_info info;
  bd_setting_parser parse;
  size_t offset; /**< Offset of the field in struct bd_settings. */
  enum bd_setting_roles required;
  bool is_text;
  int64_t minimum;
  int64_t maximum;
};

extern const struct bd_setting bd_setting_table[BD_SETTING_COUNT];

/** Returns true when TEXT, of LENGTH bytes, is an IPv4 address and a port. */
bool bd_is_address (const char *text, size_t length);

/** Texts that bd_settings.owned points to, by row of the setting table. */
struct bd_owned_texts
{
  char *text[BD_SETTING_COUNT];
};

#endif
