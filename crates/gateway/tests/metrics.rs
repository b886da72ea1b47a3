//! Tests of the text in which metrics are exposed.

use std::time::Duration;

use magnoliahatch_gateway::metrics::Metrics;
use magnoliahatch_gateway::model::error_code::ErrorCode;
use magnoliahatch_gateway::model::outcome::Cause;
use magnoliahatch_gateway::model::outcome::failure;

/// Guards against the name of a route that is read as another label, another value or another line.
#[test]
fn names_of_routes_stay_in_their_label() {
    let names = [
        ("main", "main"),
        ("a\nb 7", "a%0Ab 7"),
        ("a\r\nb", "a%0D%0Ab"),
        ("a\"} 7", "a%22%7D 7"),
        ("a,code:b", "a%2Ccode:b"),
        ("a|c|#x:y", "a%7Cc%7C%23x:y"),
        ("a\\", "a%5C"),
        ("a%0Ab", "a%250Ab"),
        ("ä:b", "%C3%A4:b"),
    ];
    for (name, label) in names {
        let metrics = Metrics::open();
        metrics.record_answered(name, Duration::from_micros(40));
        metrics.count_failure(name, &failure(ErrorCode::Busy, Cause::Rate));
        let text = metrics.registry().text();
        let mut lines: Vec<&str> = text.split_inclusive('\n').collect();
        lines.sort_unstable();
        let expected = [
            format!(
                "magnoliahatch_statement_failures{{route=\"{label}\",code=\"Busy\",cause=\"Rate\"}} 1\n"
            ),
            format!("magnoliahatch_statement_micros_count{{route=\"{label}\"}} 1\n"),
            format!("magnoliahatch_statement_micros{{route=\"{label}\",quantile=\"0.5\"}} 40\n"),
            format!("magnoliahatch_statement_micros{{route=\"{label}\",quantile=\"0.9\"}} 40\n"),
            format!("magnoliahatch_statement_micros{{route=\"{label}\",quantile=\"0.99\"}} 40\n"),
        ];
        assert_eq!(lines, expected, "{name:?}");
    }
}

/// Guards against a value that is added up although it is a state, and against a count of 0 that makes
/// a series.
#[test]
fn values_of_usage_reports_replace_each_other_and_counts_add_up() {
    let metrics = Metrics::open();
    metrics.set_usage("usage_last_window", 7);
    metrics.set_usage("usage_last_window", 8);
    metrics.count_usage("usage_late_statements", 2);
    metrics.count_usage("usage_late_statements", 3);
    metrics.count_usage("usage_dropped_windows", 0);
    let text = metrics.registry().text();
    let lines: Vec<&str> = text.lines().collect();
    let expected = [
        "magnoliahatch_usage_late_statements{} 5",
        "magnoliahatch_usage_last_window{} 8",
    ];
    assert_eq!(lines, expected);
}

/// Guards against a window that is added to the former one, and against series of members that have
/// left, which would use up the limit of series.
#[test]
fn windows_are_replaced_and_removed() {
    let metrics = Metrics::open();
    let text = || metrics.registry().text();
    metrics.record_window("m-a,1", 4);
    metrics.record_window("m-a,1", 2);
    assert_eq!(
        text(),
        "magnoliahatch_member_window{member=\"m-a%2C1\"} 2\n"
    );
    metrics.remove_window("m-a,1");
    assert_eq!(text(), "");
}
