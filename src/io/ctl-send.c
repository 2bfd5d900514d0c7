#include "ctl.h"

#include "toucanscale/status.h"

#include <curl/curl.h>

#include <string.h>

/* Maximum response body in bytes; a dump of 10,000 groups has a few MB. */
#define CTL_RESPONSE_MAX ((gsize)256 * 1024 * 1024)

static size_t
append_body (char *data, size_t size, size_t count, void *user_data)
{
  GString *response = user_data;

  if (response->len + size * count > CTL_RESPONSE_MAX)
    return 0;
  g_string_append_len (response, data, (gssize)(size * count));
  return size * count;
}

/* Adds the Authorization header; a token "@FILE" is read from FILE. */
static int
add_authorization (struct curl_slist **headers, const char *token)
{
  char *content = NULL;
  char *header;

  if (token == NULL)
    return TOU_OK;
  if (token[0] == '@' && !g_file_get_contents (token + 1, &content, NULL, NULL))
    return tou_status_set (TOU_E_IO, "cannot read the token from %s",
                           token + 1);
  header = g_strconcat ("Authorization: Bearer ",
                        content != NULL ? g_strchomp (content) : token, NULL);
  *headers = curl_slist_append (*headers, header);
  g_free (header);
  g_free (content);
  return TOU_OK;
}

static void
set_options (CURL *curl, const TouCtlCall *call, const TouCtlOptions *options,
             const char *url, GString *response)
{
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, call->method);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)options->timeout_ms);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, response);
  if (call->body != NULL)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, call->body);
  if (options->ca_file != NULL)
    curl_easy_setopt (curl, CURLOPT_CAINFO, options->ca_file);
}

int
tou_ctl_send (TouCtlCall *call, const TouCtlOptions *options)
{
  CURL *curl = curl_easy_init ();
  struct curl_slist *headers
      = curl_slist_append (NULL, "Content-Type: application/json");
  char *url = g_strconcat (options->url, call->path, NULL);
  GString *response = g_string_new (NULL);
  int status = add_authorization (&headers, options->token);
  CURLcode code;

  if (status != TOU_OK)
    goto done;
  set_options (curl, call, options, url, response);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  call->sent = TRUE;
  code = curl_easy_perform (curl);
  if (code != CURLE_OK)
    status
        = tou_status_set (TOU_E_IO, "%s: %s", url, curl_easy_strerror (code));
  if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
    call->sent = FALSE;
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &call->status);

done:
  curl_easy_cleanup (curl);
  curl_slist_free_all (headers);
  g_free (url);
  call->response.len = response->len;
  call->response.data = g_string_free (response, FALSE);
  return status;
}
