//! Converts the parsed command line into typed options.

use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use magnoliahatch_client::admin::subject::Subject;
use magnoliahatch_client::objects::access::Access;
use magnoliahatch_client::objects::member::Member;
use magnoliahatch_client::objects::placement::Placement;
use magnoliahatch_client::settings;

use crate::arguments;
use crate::error::CtlError;
use crate::output::Output;
use crate::request::Action;
use crate::request::ContractFields;
use crate::request::DatabaseFields;
use crate::request::Request;
use crate::request::RouteFields;
use crate::settings::CtlSettings;

/// Environment variable with a comma-separated list of administration addresses.
const ADMIN_VARIABLE: &str = "MAGNOLIAHATCH_ADMIN";

/// The parsed command line.
#[derive(Debug)]
pub struct Options {
    pub addresses: Vec<String>,
    pub output: Output,
    /// Maximum time to wait until a change has taken effect; `None` without `--wait`.
    pub wait: Option<Duration>,
    pub request: Request,
}

impl Options {
    /// Parses the process's command line; returns `None` for `--check`. Exits the process on
    /// `--help` and on invalid usage.
    pub fn parse() -> Result<Option<Self>, CtlError> {
        let matches = arguments::command().get_matches();
        let settings: CtlSettings = match matches.get_one::<PathBuf>("settings") {
            Some(path) => settings::load(path)?,
            None if matches.get_flag("check") => return Err(CtlError::CheckWithoutSettings),
            None => CtlSettings::default(),
        };
        if matches.get_flag("check") {
            return Ok(None);
        }
        let output = match text(&matches, "output").as_deref() {
            Some("json") => Output::Json,
            _ => Output::Table,
        };
        let wait_limit = matches.get_one("wait-limit").copied().unwrap_or_default();
        Ok(Some(Self {
            addresses: addresses(&matches, settings),
            output,
            wait: matches
                .get_flag("wait")
                .then(|| Duration::from_secs(wait_limit)),
            request: request(&matches)?,
        }))
    }
}

fn addresses(matches: &ArgMatches, settings: CtlSettings) -> Vec<String> {
    if let Some(given) = matches.get_many::<String>("admin") {
        return given.cloned().collect();
    }
    match std::env::var(ADMIN_VARIABLE) {
        Ok(given) if !given.is_empty() => given.split(',').map(str::to_owned).collect(),
        _ => settings.admin,
    }
}

fn request(matches: &ArgMatches) -> Result<Request, CtlError> {
    let (command, matches) = matches.subcommand().ok_or(CtlError::MissingCommand)?;
    let request = match command {
        "switchover" => Request::Switchover {
            database: name(matches),
            member: text(matches, "member"),
        },
        "status" => Request::Status,
        "explain" => Request::Explain {
            id: text(matches, "id").unwrap_or_default(),
            files: matches
                .get_many("files")
                .into_iter()
                .flatten()
                .cloned()
                .collect(),
        },
        _ => {
            let (action, matches) = matches.subcommand().ok_or(CtlError::MissingCommand)?;
            match command {
                "contract" => Request::Contract(object(action, matches, contract_fields)),
                "route" => Request::Route(object(action, matches, route_fields)),
                "database" => Request::Database(object(action, matches, database_fields)),
                "key" => key(action, matches),
                "secret" => Request::CreateSecret,
                subject => placement(subject, action, matches)?,
            }
        }
    };
    Ok(request)
}

fn object<F>(action: &str, matches: &ArgMatches, fields: fn(&ArgMatches) -> F) -> Action<F> {
    match action {
        "create" => Action::Create {
            name: name(matches),
            fields: fields(matches),
        },
        "change" => Action::Change {
            name: name(matches),
            fields: fields(matches),
            version: value(matches, "if-version"),
        },
        "withdraw" => Action::Withdraw {
            name: name(matches),
            version: value(matches, "if-version"),
        },
        _ => Action::Show {
            name: text(matches, "name"),
        },
    }
}

fn key(action: &str, matches: &ArgMatches) -> Request {
    let organisation = name(matches);
    match action {
        "create" => Request::CreateKey { organisation },
        "withdraw" => Request::WithdrawKey {
            organisation,
            id: text(matches, "id").unwrap_or_default(),
        },
        _ => Request::ShowKeys { organisation },
    }
}

fn placement(subject_name: &str, action: &str, matches: &ArgMatches) -> Result<Request, CtlError> {
    let subject = Subject::ALL
        .into_iter()
        .find(|s| s.as_str() == subject_name);
    let subject = subject.ok_or(CtlError::MissingCommand)?;
    let state = match action {
        "out" => Placement::Out,
        "in" => Placement::In,
        _ => return Ok(Request::ShowPlacements { subject }),
    };
    Ok(Request::SetPlacement {
        subject,
        name: name(matches),
        state,
        version: value(matches, "if-version"),
    })
}

fn contract_fields(matches: &ArgMatches) -> ContractFields {
    ContractFields {
        rate: value(matches, "rate"),
        burst: value(matches, "burst"),
        max_age_ms: value(matches, "max-age-ms"),
        weight: value(matches, "weight"),
        idle_in_transaction_ms: value(matches, "idle-in-transaction-ms"),
    }
}

fn route_fields(matches: &ArgMatches) -> RouteFields {
    RouteFields {
        database: text(matches, "database"),
        access: text(matches, "access").map(|access| match access.as_str() {
            "open" => Access::Open,
            _ => Access::Key,
        }),
        organisation: text(matches, "organisation"),
    }
}

fn database_fields(matches: &ArgMatches) -> DatabaseFields {
    let members = matches.get_many::<Member>("member");
    DatabaseFields {
        members: members.into_iter().flatten().cloned().collect(),
        connections: value(matches, "connections"),
        slots: value(matches, "slots"),
        member_rate: value(matches, "member-rate"),
    }
}

fn name(matches: &ArgMatches) -> String {
    text(matches, "name").unwrap_or_default()
}

fn text(matches: &ArgMatches, id: &str) -> Option<String> {
    matches.get_one::<String>(id).cloned()
}

fn value<T: Copy + Send + Sync + 'static>(matches: &ArgMatches, id: &str) -> Option<T> {
    matches.get_one::<T>(id).copied()
}
