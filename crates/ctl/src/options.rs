//! The command line, parsed once into types.

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
use crate::request::ContractFields;
use crate::request::DatabaseFields;
use crate::request::Request;
use crate::request::RouteFields;
use crate::request::Verb;
use crate::settings::CtlSettings;

/// Environment variable with administration addresses, separated by commas.
const ADMIN_VARIABLE: &str = "MAGNOLIAHATCH_ADMIN";

/// The parsed command line.
#[derive(Debug)]
pub struct Options {
    pub addresses: Vec<String>,
    pub output: Output,
    /// Limit of the wait until a change is in force everywhere; none without `--wait`.
    pub wait: Option<Duration>,
    pub request: Request,
}

impl Options {
    /// Parses the process's command line; none if it only asked for `--check`. Ends the process on
    /// `--help` and on bad usage.
    pub fn parse() -> Result<Option<Self>, CtlError> {
        let matches = arguments::command().get_matches();
        let settings: CtlSettings = match matches.get_one::<PathBuf>("settings") {
            Some(path) => settings::load(path)?,
            None if matches.get_flag("check") => return Err(CtlError::NothingToCheck),
            None => CtlSettings::default(),
        };
        if matches.get_flag("check") {
            return Ok(None);
        }
        let output = match text(&matches, "output").as_deref() {
            Some("json") => Output::Json,
            _ => Output::Table,
        };
        let limit = matches.get_one("wait-limit").copied().unwrap_or_default();
        Ok(Some(Self {
            addresses: addresses(&matches, settings),
            output,
            wait: matches.get_flag("wait").then(|| Duration::from_secs(limit)),
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
    let (area, matches) = matches.subcommand().ok_or(CtlError::NoCommand)?;
    let request = match area {
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
            let (verb, matches) = matches.subcommand().ok_or(CtlError::NoCommand)?;
            match area {
                "contract" => Request::Contract(object(verb, matches, contract_fields)),
                "route" => Request::Route(object(verb, matches, route_fields)),
                "database" => Request::Database(object(verb, matches, database_fields)),
                "key" => key(verb, matches),
                "secret" => Request::SecretCreate,
                subject => placement(subject, verb, matches)?,
            }
        }
    };
    Ok(request)
}

fn object<F>(verb: &str, matches: &ArgMatches, fields: fn(&ArgMatches) -> F) -> Verb<F> {
    match verb {
        "create" => Verb::Create {
            name: name(matches),
            fields: fields(matches),
        },
        "change" => Verb::Change {
            name: name(matches),
            fields: fields(matches),
            version: number(matches, "if-version"),
        },
        "withdraw" => Verb::Withdraw {
            name: name(matches),
            version: number(matches, "if-version"),
        },
        _ => Verb::Show {
            name: text(matches, "name"),
        },
    }
}

fn key(verb: &str, matches: &ArgMatches) -> Request {
    let organisation = name(matches);
    match verb {
        "create" => Request::KeyCreate { organisation },
        "withdraw" => Request::KeyWithdraw {
            organisation,
            id: text(matches, "id").unwrap_or_default(),
        },
        _ => Request::KeyShow { organisation },
    }
}

fn placement(area: &str, verb: &str, matches: &ArgMatches) -> Result<Request, CtlError> {
    let subject = Subject::ALL.into_iter().find(|s| s.as_str() == area);
    let subject = subject.ok_or(CtlError::NoCommand)?;
    let state = match verb {
        "out" => Placement::Out,
        "in" => Placement::In,
        _ => return Ok(Request::PlacementShow { subject }),
    };
    Ok(Request::Place {
        subject,
        name: name(matches),
        state,
        version: number(matches, "if-version"),
    })
}

fn contract_fields(matches: &ArgMatches) -> ContractFields {
    ContractFields {
        rate: number(matches, "rate"),
        burst: number(matches, "burst"),
        max_age: number(matches, "max-age-ms"),
        weight: number(matches, "weight"),
        idle: number(matches, "idle-in-transaction-ms"),
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
        connections: number(matches, "connections"),
        slots: number(matches, "slots"),
        member_rate: number(matches, "member-rate"),
    }
}

fn name(matches: &ArgMatches) -> String {
    text(matches, "name").unwrap_or_default()
}

fn text(matches: &ArgMatches, id: &str) -> Option<String> {
    matches.get_one::<String>(id).cloned()
}

fn number<T: Copy + Send + Sync + 'static>(matches: &ArgMatches, id: &str) -> Option<T> {
    matches.get_one::<T>(id).copied()
}
