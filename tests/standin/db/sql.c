/*
 * Parser for the SQL subset. A statement must match one of the patterns below
 * token by token; "?" matches a parameter or a literal, and other tokens are
 * compared case-insensitively. Other statements fail with SQLSTATE 42601.
 */
#include "db.h"

#include <string.h>

static const struct
{
  StmtKind kind;
  const char *text;
} patterns[] = {
  { STMT_INSERT, "insert into record ( id , body ) values ( ? , ? )" },
  { STMT_INSERT, "insert into record values ( ? , ? )" },
  { STMT_UPDATE, "update record set body = ? where id = ?" },
  { STMT_DELETE, "delete from record where id = ?" },
  { STMT_SELECT_BODY, "select body from record where id = ?" },
  { STMT_SELECT_ROW, "select id , body from record where id = ?" },
  { STMT_COUNT, "select count ( * ) from record" },
  { STMT_SELECT_ALL, "select id , body from record" },
  { STMT_SELECT_ALL, "select id , body from record order by id" },
  { STMT_SLEEP, "select pg_sleep ( ? )" },
  { STMT_KEY_INSERT, "insert into toucanscale.request ( key , fingerprint , "
                     "expires_ms ) values ( ? , ? , ? )" },
  { STMT_KEY_OUTCOME, "update toucanscale.request set outcome = ? "
                      "where key = ?" },
  { STMT_KEY_SELECT, "select fingerprint , outcome from toucanscale.request "
                     "where key = ?" },
  { STMT_KEY_EXPIRE, "delete from toucanscale.request where key = ? and "
                     "expires_ms <= ?" },
  { STMT_BEGIN, "begin" },
  { STMT_BEGIN_READ_ONLY, "begin read only" },
  { STMT_COMMIT, "commit" },
  { STMT_ROLLBACK, "rollback" },
  { STMT_SET_TERM, "set toucanscale.term = ?" },
  { STMT_REPORT, "select * from toucanscale.report ( )" },
  { STMT_FENCE, "select * from toucanscale.fence ( ? , ? )" },
  { STMT_PROMOTE, "select * from toucanscale.promote ( ? , ? )" },
  { STMT_FOLLOW, "select * from toucanscale.follow ( ? , ? , ? , ? )" },
};

/* Reads a quoted literal and unescapes ''; NULL if it is unterminated. */
static const char *
token_quoted (GString *token, const char *p)
{
  g_string_append_c (token, '\'');
  for (p++; *p != '\0'; p++)
    {
      if (*p == '\'' && p[1] != '\'')
        return p + 1;
      if (*p == '\'')
        p++;
      g_string_append_c (token, *p);
    }
  return NULL;
}

/*
 * Reads a token and returns the position after it, or NULL if it is malformed.
 * The token of a quoted literal keeps the opening quote.
 */
static const char *
token_next (GString *token, const char *p)
{
  g_string_truncate (token, 0);
  while (g_ascii_isspace (*p))
    p++;
  if (*p == '\'')
    return token_quoted (token, p);
  if (*p == '<' && p[1] == '=')
    {
      g_string_append (token, "<=");
      return p + 2;
    }
  while (g_ascii_isalnum (*p) || *p == '_' || *p == '.' || *p == '$'
         || *p == '-')
    g_string_append_c (token, *p++);
  if (token->len == 0 && *p != '\0')
    g_string_append_c (token, *p++);
  return p;
}

/* Adds an argument; FALSE if the token is not a parameter or a literal. */
static gboolean
stmt_argument (Stmt *stmt, const char *token)
{
  guint i = stmt->n_args;

  if (token[0] == '$')
    stmt->args[i].param = (guint)g_ascii_strtoull (token + 1, NULL, 10);
  else if (token[0] == '\'')
    stmt->args[i].literal = g_strdup (token + 1);
  else if (g_ascii_isdigit (token[0]) || token[0] == '-')
    stmt->args[i].literal = g_strdup (token);
  else
    return FALSE;
  stmt->n_args++;
  return stmt->args[i].literal != NULL || stmt->args[i].param > 0;
}

/* Compares @a sql with a pattern and adds its arguments to @a stmt. */
static gboolean
stmt_match (Stmt *stmt, const char *sql, char **words, GString *token)
{
  for (guint i = 0; words[i] != NULL; i++)
    {
      sql = token_next (token, sql);
      if (sql == NULL)
        return FALSE;
      if (g_str_equal (words[i], "?")
              ? !stmt_argument (stmt, token->str)
              : g_ascii_strcasecmp (words[i], token->str) != 0)
        return FALSE;
    }
  while (g_ascii_isspace (*sql) || *sql == ';')
    sql++;
  return *sql == '\0';
}

/* Tokens of pattern @a i; cached because all statements need them. */
static char **
pattern_words (guint i)
{
  static char **words[G_N_ELEMENTS (patterns)];

  if (words[i] == NULL)
    words[i] = g_strsplit (patterns[i].text, " ", -1);
  return words[i];
}

gboolean
sql_parse (Stmt *out, const char *sql)
{
  g_autoptr (GString) token = g_string_new (NULL);

  for (guint i = 0; i < G_N_ELEMENTS (patterns); i++)
    {
      Stmt stmt = { .kind = patterns[i].kind };

      if (stmt_match (&stmt, sql, pattern_words (i), token))
        {
          *out = stmt;
          return TRUE;
        }
      stmt_clear (&stmt);
    }
  return FALSE;
}

void
stmt_clear (Stmt *stmt)
{
  for (guint i = 0; i < stmt->n_args; i++)
    g_free (stmt->args[i].literal);
  memset (stmt, 0, sizeof *stmt);
}

const char *
stmt_columns (StmtKind kind)
{
  switch (kind)
    {
    case STMT_SELECT_BODY:
      return "body";
    case STMT_SELECT_ROW:
    case STMT_SELECT_ALL:
      return "id,body";
    case STMT_COUNT:
      return "count";
    case STMT_SLEEP:
      return "pg_sleep";
    case STMT_KEY_SELECT:
      return "fingerprint,outcome";
    case STMT_REPORT:
    case STMT_FENCE:
    case STMT_PROMOTE:
    case STMT_FOLLOW:
      return "role,log_term,position,fence_term,term_start,work_clients,"
             "connections,granted";
    default:
      return NULL;
    }
}
