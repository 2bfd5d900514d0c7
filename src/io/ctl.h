/**
 * @file ctl.h
 * Command-line tool for operators: sends commands to the operators' port.
 */
#pragma once

#include "toucanscale/str.h"

G_BEGIN_DECLS

/** Exit codes of toucanscalectl; 64 (EX_USAGE) is an invalid command line. */
typedef enum
{
  TOU_CTL_OK = 0,
  TOU_CTL_REFUSED = 1,     /**< refused by the proxy, see the result code */
  TOU_CTL_NOT_FOUND = 2,   /**< no such entry */
  TOU_CTL_CONFLICT = 3,    /**< the entry has another revision */
  TOU_CTL_UNKNOWN = 4,     /**< the change may have taken effect */
  TOU_CTL_UNREACHABLE = 5, /**< the proxy did not respond */
  TOU_CTL_NOT_READY = 6    /**< the proxy accepts no requests */
} TouCtlExit;

/** Flags and arguments; strings are not owned. */
typedef struct
{
  const char *url;
  const char *token; /**< "@FILE": read from a file */
  const char *ca_file;
  const char *author;
  const char *reason;
  const char *against; /**< config check: file of the version in force */
  guint64 expected_revision;
  guint64 timeout_ms;
  gboolean json;
  guint n_args;
  const char *args[4]; /**< command, then subcommand and its arguments */
  const char *value;   /**< config set: JSON, "@FILE", or "-" */
} TouCtlOptions;

/** One HTTP request and its response. */
typedef struct
{
  const char *method;
  char *path;
  char *body;    /**< NULL: no body */
  gboolean sent; /**< the proxy may have received it */
  long status;
  TouStr response;
} TouCtlCall;

/** Parses the command line; an invalid one ends the process with EX_USAGE. */
void tou_ctl_parse (TouCtlOptions *out, int argc, char **argv);

/** TRUE if the command is "config check", which needs no proxy. */
gboolean tou_ctl_is_check (const TouCtlOptions *options);

/** Runs any other command and returns a TouCtlExit. */
int tou_ctl_run (const TouCtlOptions *options);

/** Sends the request and receives the response; fails with TOU_E_IO. */
int tou_ctl_send (TouCtlCall *call, const TouCtlOptions *options);

/** Prints the response and returns a TouCtlExit. */
int tou_ctl_print (const TouCtlCall *call, const TouCtlOptions *options);

/** Writes the content of docs/errors.md to @a out. */
void tou_ctl_format_errors (TouStr *out);

G_END_DECLS
