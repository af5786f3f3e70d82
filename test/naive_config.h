/**
 * @file naive_config.h
 * The configuration's rules in their plainest form, on lists of documents.
 */
#ifndef NAIVE_CONFIG_H
#define NAIVE_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A document as a test made it: what it says is known without parsing. */
struct naive_document
{
  char *name;
  char *json;
  guint64 revision;
  bool bad;          /**< Must be refused. */
  GHashTable *names; /**< Manifest: document name to revision. */
};

struct naive_config;

struct naive_config *naive_config_create (void);
void naive_config_destroy (struct naive_config *config);

/** Answers as bd_config_offer () must. */
int naive_config_offer (struct naive_config *config,
                        const struct naive_document *document);

/** The document in force, or NULL. */
const struct naive_document *naive_config_get (struct naive_config *config,
                                               const char *name);

/** True when bd_config_missing () must name it. */
bool naive_config_outdated (struct naive_config *config, const char *name);

/** Orders by revision, then by content hash. */
int naive_document_compare (const struct naive_document *a,
                            const struct naive_document *b);

/** Makes a contract, pool or manifest; VARIANT changes the text only. */
struct naive_document *naive_contract (const char *workspace, guint64 revision,
                                       int variant, bool bad);
struct naive_document *naive_pool (const char *pool, guint64 revision,
                                   int variant, int runners);
struct naive_document *naive_manifest (guint64 revision, int variant,
                                       GHashTable *names);
void naive_document_free (gpointer document);

#endif
