//! Reads the first messages of a connection: TLS request, cancel request or startup message.

use std::collections::BTreeMap;
use std::io;

use bytes::Buf;
use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_rustls::TlsAcceptor;

use crate::front::cancel::CANCEL_CODE;
use crate::front::cancel::CancelKey;
use crate::front::client::Stream;
use crate::front::refusal::Refusal;

const SSL_CODE: u32 = 80_877_103;
const GSS_CODE: u32 = 80_877_104;
const PROTOCOL_MAJOR: u32 = 3;
/// PostgreSQL's limit for startup messages.
const LENGTH_LIMIT: u32 = 10_000;

/// Parameters of the startup message.
#[derive(Debug, Default)]
pub(crate) struct Parameters {
    pub(crate) user: String,
    pub(crate) database: String,
    /// Session variables, including those given in `options`.
    pub(crate) variables: BTreeMap<String, String>,
    /// Unknown protocol options; `Some` if NegotiateProtocolVersion must be sent, which an unknown
    /// minor version requires too.
    pub(crate) negotiate: Option<Vec<String>>,
}

/// Purpose of a new connection.
pub(crate) enum ConnectionRequest {
    Session(Box<dyn Stream>, Parameters),
    Cancel(CancelKey),
    Refused(Box<dyn Stream>, Refusal),
}

/// Reads messages up to the startup message or cancel request, and accepts TLS.
pub(crate) async fn read(
    stream: TcpStream,
    tls: Option<&TlsAcceptor>,
) -> io::Result<ConnectionRequest> {
    let mut stream: Box<dyn Stream> = Box::new(stream);
    let mut encrypted = false;
    loop {
        let length = stream.read_u32().await?;
        if !(8..=LENGTH_LIMIT).contains(&length) {
            return Ok(ConnectionRequest::Refused(
                stream,
                Refusal::Startup("its length is not valid"),
            ));
        }
        let mut body = vec![0; length as usize - 4];
        stream.read_exact(&mut body).await?;
        let mut body = Bytes::from(body);
        match body.get_u32() {
            SSL_CODE => match tls.filter(|_| !encrypted) {
                Some(acceptor) => {
                    stream.write_all(b"S").await?;
                    stream = Box::new(acceptor.accept(stream).await?);
                    encrypted = true;
                }
                None => stream.write_all(b"N").await?,
            },
            GSS_CODE => stream.write_all(b"N").await?,
            CANCEL_CODE if body.len() >= 8 => {
                return Ok(ConnectionRequest::Cancel((body.get_u32(), body.get_u32())));
            }
            version if version >> 16 == PROTOCOL_MAJOR => {
                return Ok(match parse(body, version & 0xffff) {
                    Ok(parameters) => ConnectionRequest::Session(stream, parameters),
                    Err(refusal) => ConnectionRequest::Refused(stream, refusal),
                });
            }
            _ => {
                let refusal = Refusal::Startup("the protocol version is not supported");
                return Ok(ConnectionRequest::Refused(stream, refusal));
            }
        }
    }
}

fn parse(mut body: Bytes, minor: u32) -> Result<Parameters, Refusal> {
    let mut parameters = Parameters::default();
    let mut unknown = Vec::new();
    loop {
        let name = text(&mut body)?;
        if name.is_empty() {
            break;
        }
        let value = text(&mut body)?;
        match name.as_str() {
            "user" => parameters.user = value,
            "database" => parameters.database = value,
            "options" => read_options(&value, &mut parameters.variables),
            // application_name is only informational, and members already use UTF-8.
            "application_name" => {}
            "client_encoding" if is_utf8(&value) => {}
            "replication" => return Err(Refusal::Startup("replication is not supported")),
            _ if name.starts_with("_pq_.") => unknown.push(name),
            _ => {
                parameters
                    .variables
                    .insert(name.to_ascii_lowercase(), value);
            }
        }
    }
    if !body.is_empty() {
        return Err(Refusal::Startup("bytes follow its terminator"));
    }
    if parameters.user.is_empty() {
        return Err(Refusal::Startup(
            "user is missing; it names the organisation",
        ));
    }
    if parameters.database.is_empty() {
        // Default of the protocol.
        parameters.database.clone_from(&parameters.user);
    }
    if minor != 0 || !unknown.is_empty() {
        parameters.negotiate = Some(unknown);
    }
    Ok(parameters)
}

/// Parses `-c name=value` and `--name=value`, separated by spaces. A backslash escapes the next
/// character.
fn read_options(options: &str, variables: &mut BTreeMap<String, String>) {
    let mut words = vec![String::new()];
    let mut characters = options.chars();
    while let Some(character) = characters.next() {
        match character {
            '\\' => words
                .last_mut()
                .expect("never empty")
                .extend(characters.next()),
            ' ' => words.push(String::new()),
            other => words.last_mut().expect("never empty").push(other),
        }
    }
    for word in words {
        let setting = word.strip_prefix("-c").or_else(|| word.strip_prefix("--"));
        if let Some((name, value)) = setting.unwrap_or(&word).split_once('=') {
            variables.insert(
                name.to_ascii_lowercase().replace('-', "_"),
                value.to_owned(),
            );
        }
    }
}

fn text(body: &mut Bytes) -> Result<String, Refusal> {
    let end = body.iter().position(|byte| *byte == 0);
    let end = end.ok_or(Refusal::Startup("a text has no terminator"))?;
    let text = body.split_to(end);
    body.advance(1);
    String::from_utf8(text.into()).map_err(|_| Refusal::Startup("a text is not UTF-8"))
}

fn is_utf8(encoding: &str) -> bool {
    matches!(
        encoding.to_ascii_uppercase().as_str(),
        "UTF8" | "UTF-8" | "'UTF-8'"
    )
}
