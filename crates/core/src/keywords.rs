//! Word lists that the statement classification uses.

/// Whether a white-space separated list contains the word. The comparison is case-sensitive.
pub(crate) fn contains_word(list: &str, word: &str) -> bool {
    list.split_ascii_whitespace().any(|entry| entry == word)
}

/// Functions without side effects whose result depends only on data, arguments, settings and
/// the time.
pub(crate) const PURE_FUNCTIONS: &str = "
    abs array_agg array_length avg bool_and bool_or btrim cast ceil char_length coalesce concat
    count current_setting date_part date_trunc dense_rank extract first_value floor greatest
    json_agg json_build_object jsonb_agg jsonb_build_object lag last_value lead least left
    length lower ltrim max md5 min mod now nullif position power rank replace right round
    row_number rtrim sqrt string_agg substr substring sum to_char to_date to_json to_jsonb
    to_timestamp trim unnest upper
";

/// Keywords that may precede a parenthesis without being a function call.
pub(crate) const KEYWORDS_BEFORE_PARENTHESIS: &str = "
    ALL AND ANY ARRAY AS BETWEEN BY CASE DISTINCT ELSE EXCEPT EXISTS EXPLAIN FILTER FROM HAVING
    IN INTERSECT JOIN LATERAL LIKE LIMIT NOT NUMERIC OFFSET ON OR OVER ROW SELECT SOME THEN
    UNION USING VALUES VARCHAR WHEN WHERE
";

/// Keywords that, anywhere in a query, mean that it may modify or lock data.
pub(crate) const MODIFYING_KEYWORDS: &str = "
    ALTER CREATE DELETE DROP INSERT INTO LOCK MERGE SHARE TRUNCATE UPDATE
";

/// Commands classified as writes if sqlparser cannot parse the whole statement.
pub(crate) const WRITE_COMMANDS: &str = "
    ALTER ANALYZE CALL CLOSE COMMENT CREATE DELETE DROP EXPLAIN FETCH GRANT INSERT LOCK MERGE
    MOVE NOTIFY REFRESH REINDEX RELEASE REVOKE SAVEPOINT SELECT TABLE TRUNCATE UPDATE VACUUM
    VALUES WITH
";

/// Variables that determine the role that a statement runs as.
pub(crate) const IDENTITY_VARIABLES: &str = "
    role session_authorization
";

/// First words of unsupported statements, with the statement's name and the alternative reported to
/// the client. Code in a procedural language could change the session's authorization, so clients
/// may not send any.
pub(crate) const UNSUPPORTED_PREFIXES: &[(&[&str], &str, &str)] = &[
    (&["COPY"], "COPY", "use INSERT with several rows, or SELECT"),
    (&["LISTEN"], "LISTEN", "poll a table"),
    (&["UNLISTEN"], "UNLISTEN", "poll a table"),
    (&["LOAD"], "LOAD", "ask the operators to load the library"),
    (&["DO"], "DO", "send the statements one by one"),
    (
        &["PREPARE"],
        "PREPARE",
        "use the protocol's prepared statements",
    ),
    (
        &["EXECUTE"],
        "EXECUTE",
        "use the protocol's prepared statements",
    ),
    (
        &["CREATE", "FUNCTION"],
        "CREATE FUNCTION",
        "ask the operators to create it",
    ),
    (
        &["CREATE", "OR", "REPLACE"],
        "CREATE OR REPLACE",
        "use DROP and CREATE",
    ),
    (
        &["CREATE", "PROCEDURE"],
        "CREATE PROCEDURE",
        "ask the operators to create it",
    ),
    (
        &["CREATE", "TEMP"],
        "temporary object",
        "use a permanent table",
    ),
    (
        &["CREATE", "TEMPORARY"],
        "temporary object",
        "use a permanent table",
    ),
    (
        &["CREATE", "LOCAL"],
        "temporary object",
        "use a permanent table",
    ),
    (
        &["CREATE", "GLOBAL"],
        "temporary object",
        "use a permanent table",
    ),
];
