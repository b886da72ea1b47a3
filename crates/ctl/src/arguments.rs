//! Definition of the commands and options for clap.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::builder::ValueParser;
use clap::value_parser;
use magnoliahatch_client::admin::subject::Subject;
use magnoliahatch_client::objects::member::Member;
use thiserror::Error;

const EXIT_CODES: &str = "Exit codes: 0 success, 1 runtime failure, 2 invalid usage or settings, \
    3 conflict, 4 store unavailable, 5 refused.";

/// Why the value of `--member` is invalid.
#[derive(Debug, Error)]
pub enum MemberError {
    #[error("expected NAME,ADDRESS,DATA-CENTRE[,PEER-ADDRESS], such as h-1,10.0.0.1:5432,zaria")]
    Format,
    #[error("{0:?} is not an IP address and port")]
    Address(String),
}

/// Builds the definition of the whole command line.
pub fn command() -> Command {
    let placements = Subject::ALL.map(placement);
    Command::new("magnoliahatch")
        .about("Operator's command line of the magnoliahatch database proxy")
        .version(clap::crate_version!())
        .after_help(EXIT_CODES)
        .arg(
            Arg::new("admin")
                .long("admin")
                .global(true)
                .value_name("ADDRESS")
                .value_delimiter(',')
                .action(ArgAction::Append)
                .help("Administration addresses of daemons, tried in order [env: MAGNOLIAHATCH_ADMIN]"),
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .global(true)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings file: JSON with comments"),
        )
        .arg(flag("check", "Validate the settings file and exit"))
        .arg(
            Arg::new("output")
                .long("output")
                .global(true)
                .default_value("table")
                .value_parser(["table", "json"])
                .help("Output format"),
        )
        .arg(flag("wait", "Wait until the change has taken effect everywhere").global(true))
        .arg(
            Arg::new("wait-limit")
                .long("wait-limit")
                .global(true)
                .value_name("SECONDS")
                .default_value("30")
                .value_parser(value_parser!(u64))
                .help("Maximum time to wait with --wait"),
        )
        .subcommand(object("contract", "ORGANISATION", contract_fields))
        .subcommand(key())
        .subcommand(object("route", "NAME", route_fields))
        .subcommand(object("database", "NAME", database_fields))
        .subcommands(placements)
        .subcommand(
            Command::new("switchover")
                .about("Replace the primary of a database")
                .arg(name("DATABASE"))
                .arg(
                    Arg::new("member")
                        .long("member")
                        .help("New primary; chosen by the election if omitted"),
                ),
        )
        .subcommand(
            Command::new("secret")
                .about("Manage the key that signs session tokens")
                .subcommand_required(true)
                .subcommand(Command::new("create").about("Create the key at setup")),
        )
        .subcommand(Command::new("status").about("Show the state of each seated host"))
        .subcommand(explain())
}

fn explain() -> Command {
    Command::new("explain")
        .about("Show the log lines of one request from the logs of several hosts")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("Request id, as sent by the client"),
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Log files of the hosts, in JSON lines format"),
        )
}

fn object(
    kind: &'static str,
    value_name: &'static str,
    fields: fn(Command, bool) -> Command,
) -> Command {
    let create = Command::new("create")
        .about(format!("Create a {kind}"))
        .arg(name(value_name));
    let change = Command::new("change")
        .about(format!("Change the given fields of a {kind}"))
        .arg(name(value_name))
        .arg(version());
    Command::new(kind)
        .about(format!("Create, change, show or withdraw a {kind}"))
        .subcommand_required(true)
        .subcommand(fields(create, true))
        .subcommand(fields(change, false))
        .subcommand(
            Command::new("show")
                .about("Show the named one, or all")
                .arg(name(value_name).required(false)),
        )
        .subcommand(
            Command::new("withdraw")
                .about(format!("Withdraw a {kind}"))
                .arg(name(value_name))
                .arg(version()),
        )
}

fn key() -> Command {
    Command::new("key")
        .about("Create, show or withdraw keys of an organisation")
        .subcommand_required(true)
        .subcommand(
            Command::new("create")
                .about("Create a key and show it, which is possible only once")
                .arg(name("ORGANISATION")),
        )
        .subcommand(
            Command::new("show")
                .about("Show the identifiers of all keys")
                .arg(name("ORGANISATION")),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Withdraw a key and end its sessions")
                .arg(name("ORGANISATION"))
                .arg(Arg::new("id").value_name("ID").required(true)),
        )
}

fn placement(subject: Subject) -> Command {
    let change = |action: &'static str, about: &'static str| {
        Command::new(action)
            .about(about)
            .arg(name("NAME"))
            .arg(version())
    };
    Command::new(subject.as_str())
        .about(format!(
            "Take out of service or return to service: {subject}"
        ))
        .subcommand_required(true)
        .subcommand(change("out", "Stop assigning new work to it"))
        .subcommand(change("in", "Resume assigning new work to it"))
        .subcommand(Command::new("show").about("Show what was taken out of service or returned"))
}

fn contract_fields(command: Command, required: bool) -> Command {
    command
        .arg(
            field(
                "rate",
                value_parser!(f64),
                "Statements per second, over all hosts",
            )
            .required(required),
        )
        .arg(
            field(
                "burst",
                value_parser!(f64),
                "Statements above the rate that may start at once",
            )
            .required(required),
        )
        .arg(
            field(
                "max-age-ms",
                value_parser!(u64),
                "Maximum staleness of reads; 0 requires current data",
            )
            .required(required),
        )
        .arg(field(
            "weight",
            value_parser!(u32),
            "Weight in the fair queue",
        ))
        .arg(field(
            "idle-in-transaction-ms",
            value_parser!(u64),
            "Time after which an idle transaction is rolled back",
        ))
}

fn route_fields(command: Command, required: bool) -> Command {
    let access = PossibleValuesParser::new(["key", "open"]);
    command
        .arg(
            field(
                "database",
                value_parser!(String),
                "Database that the route connects to",
            )
            .required(required),
        )
        .arg(field("access", access, "Who may use the route").required(required))
        .arg(field(
            "organisation",
            value_parser!(String),
            "Organisation under which an open route runs",
        ))
}

fn database_fields(command: Command, required: bool) -> Command {
    command
        .arg(
            field(
                "member",
                ValueParser::new(parse_member),
                "NAME,ADDRESS,DATA-CENTRE[,PEER-ADDRESS]; give once per member",
            )
            .action(ArgAction::Append)
            .required(required),
        )
        .arg(
            field(
                "connections",
                value_parser!(u32),
                "Connections to one member over all hosts",
            )
            .required(required),
        )
        .arg(
            field(
                "slots",
                value_parser!(u32),
                "Statements that one member executes at once",
            )
            .required(required),
        )
        .arg(field(
            "member-rate",
            value_parser!(f64),
            "Statements per second that one member can serve, if known",
        ))
}

fn field(long: &'static str, parser: impl Into<ValueParser>, help: &'static str) -> Arg {
    Arg::new(long).long(long).value_parser(parser).help(help)
}

fn flag(long: &'static str, help: &'static str) -> Arg {
    Arg::new(long)
        .long(long)
        .action(ArgAction::SetTrue)
        .help(help)
}

fn name(value_name: &'static str) -> Arg {
    Arg::new("name").value_name(value_name).required(true)
}

fn version() -> Arg {
    field(
        "if-version",
        value_parser!(u64),
        "Fail unless this is the current version",
    )
}

fn parse_member(text: &str) -> Result<Member, MemberError> {
    let parts: Vec<&str> = text.split(',').collect();
    let (name, address, data_centre, peer_address) = match parts[..] {
        [name, address, data_centre] => (name, address, data_centre, None),
        [name, address, data_centre, peer_address] => {
            (name, address, data_centre, Some(peer_address))
        }
        _ => return Err(MemberError::Format),
    };
    let parse_address = |text: &str| {
        text.parse::<SocketAddr>()
            .map_err(|_| MemberError::Address(text.to_owned()))
    };
    Ok(Member {
        name: name.to_owned(),
        address: parse_address(address)?,
        peer_address: peer_address.map(parse_address).transpose()?,
        data_centre: data_centre.to_owned(),
    })
}
