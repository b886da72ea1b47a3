//! Guards against interpreting a malformed answer of a member as a grant.

use magnoliahatch_core::member_command::CommandReply;
use magnoliahatch_core::member_command::LogEnd;
use magnoliahatch_core::member_command::MemberCommand;
use magnoliahatch_core::member_command::MemberStatus;
use magnoliahatch_core::role::Role;
use magnoliahatch_daemon::election::answer;
use magnoliahatch_daemon::election::sql;
use magnoliahatch_daemon::election::status;

fn row(text: &str) -> Vec<String> {
    text.split(' ').map(str::to_owned).collect()
}

#[test]
fn calls_are_quoted() {
    let follow = MemberCommand::Follow("m2".to_owned());
    let address = "10.0.0.2:5432".parse().ok();
    assert_eq!(
        sql(&follow, 7, "it's/1f", address),
        "SELECT * FROM platform_follow(7, 'it''s/1f', '10.0.0.2:5432')"
    );
}

#[test]
fn complete_rows_are_read() {
    let end = LogEnd {
        last_term: 3,
        received: 90,
    };
    let fence = CommandReply::Fence {
        granted: true,
        term: 4,
        end,
    };
    assert_eq!(
        answer(&MemberCommand::Fence, &row("true 4 3 90")),
        Ok(fence)
    );
    let expected = MemberStatus {
        role: Role::Fenced,
        term: 4,
        end,
    };
    assert_eq!(status(&row("m1 fenced 4 3 90 80 0")), Ok(expected));
}

#[test]
fn malformed_rows_are_errors_that_name_the_column() {
    for text in ["", "yes 4 3 90", "true 4 3", "true -1 3 90", "true 4 x 90"] {
        assert!(answer(&MemberCommand::Fence, &row(text)).is_err(), "{text}");
    }
    let error = status(&row("m1 leader 4 3 90 80 0")).expect_err("no such role");
    assert_eq!(
        error.to_string(),
        "column 1 of a verb's answer is \"leader\", expected primary, replica or fenced"
    );
}
