/* Commands that show the state of daemons: status, runners, contract show. */
#include "ctl/ctl.h"

#include <stdio.h>
#include <string.h>

/* Removes the contracts of all workspaces but WORKSPACE; NULL keeps all. */
static void
select_workspace (json_t *root, const char *workspace)
{
  json_t *contracts = json_object_get (root, "contracts");

  if (!workspace)
    return;
  for (size_t i = json_array_size (contracts); i > 0; i--)
    {
      const char *name = json_string_value (
          json_object_get (json_array_get (contracts, i - 1), "workspace"));

      if (!name || strcmp (name, workspace) != 0)
        json_array_remove (contracts, i - 1);
    }
}

static void
print_contracts (const json_t *root)
{
  const json_t *contracts = json_object_get (root, "contracts");
  size_t i;
  json_t *contract;

  if (json_array_size (contracts) == 0)
    puts ("none");
  json_array_foreach (contracts, i, contract)
  {
    if (i > 0)
      putchar ('\n');
    bd_ctl_print_value (contract);
  }
}

/* Fetches PATH from each daemon and prints the result by PRINT_VALUE, or all
   results as one JSON object with the addresses as keys.  With OPTIONAL,
   daemons that do not have PATH are skipped. */
static enum bd_ctl_exit
show_path (const struct bd_ctl_options *options, const char *path,
           bool optional, void (*print_value) (const json_t *root))
{
  enum bd_ctl_exit rc = BD_CTL_OK;
  json_t *by_address = json_object ();

  for (size_t i = 0; i < options->address_count; i++)
    {
      const char *address = options->addresses[i];
      json_t *root;
      enum bd_ctl_exit code = bd_ctl_fetch (address, path, optional, &root);

      rc = bd_ctl_worst_exit (rc, code);
      if (!root)
        continue;
      select_workspace (root, options->workspace);
      if (options->json)
        json_object_set (by_address, address, root);
      else
        {
          if (options->address_count > 1)
            printf ("%s== %s\n", i > 0 ? "\n" : "", address);
          print_value (root);
        }
      json_decref (root);
    }
  if (options->json)
    bd_ctl_print_json (by_address);
  json_decref (by_address);
  return rc;
}

enum bd_ctl_exit
bd_ctl_status (const struct bd_ctl_options *options)
{
  return show_path (options, "/status", false, bd_ctl_print_value);
}

enum bd_ctl_exit
bd_ctl_runners (const struct bd_ctl_options *options)
{
  return show_path (options, "/runners", true, bd_ctl_print_value);
}

enum bd_ctl_exit
bd_ctl_contract_show (const struct bd_ctl_options *options)
{
  return show_path (options, "/contracts", false, print_contracts);
}
