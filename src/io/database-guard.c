/* Rejects statements that clients may not send through the proxy. */
#include "database-private.h"

#include <string.h>

/*
 * Commands that end or begin a transaction, run several statements, or leave
 * state on the connection that the next client's statements would see.
 */
static const char *const forbidden_commands[]
    = { "abort",    "begin",      "call",    "close",   "commit",
        "copy",     "deallocate", "declare", "discard", "do",
        "end",      "execute",    "fetch",   "listen",  "load",
        "move",     "notify",     "prepare", "release", "reset",
        "rollback", "savepoint",  "set",     "start",   "unlisten" };

/* Skips a block comment, which may be nested; returns its end. */
static const char *
skip_block_comment (const char *p)
{
  guint depth = 0;

  do
    {
      if (p[0] == '/' && p[1] == '*')
        {
          depth++;
          p += 2;
        }
      else if (p[0] == '*' && p[1] == '/')
        {
          depth--;
          p += 2;
        }
      else
        p++;
    }
  while (depth > 0 && *p != '\0');
  return p;
}

/* Skips white space, empty statements and comments. */
static const char *
skip_space_and_comments (const char *p)
{
  while (*p != '\0')
    {
      if (g_ascii_isspace (*p) || *p == ';' || *p == '\v')
        p++;
      else if (p[0] == '-' && p[1] == '-')
        p += strcspn (p, "\r\n");
      else if (p[0] == '/' && p[1] == '*')
        p = skip_block_comment (p);
      else
        break;
    }
  return p;
}

static gboolean
text_has_no_nul (const TouStr *text)
{
  return text->data == NULL || strlen (text->data) == text->len;
}

int
tou_db_guard_check (const TouStatement *statement)
{
  const char *word;
  gsize len = 0;

  if (statement->sql.data == NULL || !text_has_no_nul (&statement->sql)
      || statement->n_params > TOU_STATEMENT_MAX_PARAMS)
    return tou_status_set (TOU_E_INVALID_ARGUMENT,
                           "statement is empty, contains a zero byte or has"
                           " too many parameters");
  for (guint i = 0; i < statement->n_params; i++)
    if (!text_has_no_nul (&statement->params[i]))
      return tou_status_set (TOU_E_INVALID_ARGUMENT,
                             "parameter %u contains a zero byte", i + 1);
  word = skip_space_and_comments (statement->sql.data);
  while (g_ascii_isalpha (word[len]))
    len++;
  for (guint i = 0; i < G_N_ELEMENTS (forbidden_commands); i++)
    if (strlen (forbidden_commands[i]) == len
        && g_ascii_strncasecmp (forbidden_commands[i], word, len) == 0)
      return tou_status_set (TOU_E_STATEMENT_REJECTED,
                             "command \"%s\" is not permitted in a statement",
                             forbidden_commands[i]);
  return TOU_OK;
}
