//! Stand-in for a member of a database group.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use magnoliahatch_bench::member::server;
use magnoliahatch_bench::member::server::Member;
use magnoliahatch_bench::member::settings::MemberSettings;
use magnoliahatch_client::exit_code;
use magnoliahatch_client::logs;
use magnoliahatch_client::logs::LogFormat;
use magnoliahatch_client::ready::Ready;
use magnoliahatch_client::settings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

fn command() -> Command {
    Command::new("standin-member")
        .version(clap::crate_version!())
        .about("Stand-in for a member of a database group")
        .after_help(
            "Prints one JSON line with the bound addresses when it is ready. SIGTERM ends it.\n\n\
             Exit codes: 0 ok, 1 failure at run time, 2 bad usage or settings.",
        )
        .arg(
            Arg::new("settings")
                .required(true)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings file, JSON with comments"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Checks the settings file and exits"),
        )
}

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return ExitCode::from(exit_code::USAGE);
    };
    let settings = match settings::load::<MemberSettings>(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("standin-member: {error}");
            return ExitCode::from(exit_code::USAGE);
        }
    };
    if matches.get_flag("check") {
        return ExitCode::from(exit_code::OK);
    }
    logs::init(LogFormat::Human, "warn");
    match run(settings).await {
        Ok(()) => ExitCode::from(exit_code::OK),
        Err(error) => {
            eprintln!("standin-member: {error}");
            ExitCode::from(exit_code::FAILURE)
        }
    }
}

async fn run(settings: MemberSettings) -> Result<(), server::MemberError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut member = server::spawn(settings).await?;
    ready(&member).print()?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        () = member.failed() => Err(server::MemberError::Ended),
    }
}

fn ready(member: &Member) -> Ready {
    let control = member.control.map(|address| ("control", address));
    Ready::new([("sql", member.sql)].into_iter().chain(control))
}
