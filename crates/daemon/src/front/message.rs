//! Decodes the messages of the extended protocol as far as the proxy needs.

use bytes::Bytes;
use magnoliahatch_core::classify;
use magnoliahatch_core::prepared::PreparedStatement;
use magnoliahatch_core::session::Session;
use magnoliahatch_core::statement_class::StatementClass;

use crate::front::refusal::Refusal;
use crate::wire::body_reader::BodyReader;
use crate::wire::frame::Frame;
use crate::wire::frame_error::FrameError;
use crate::wire::tag;

/// Target types of Describe and Close.
const STATEMENT: u8 = b'S';
const PORTAL: u8 = b'P';

/// One message of the extended protocol with its prepared statement looked up.
#[derive(Debug, Clone)]
pub(crate) enum Message {
    Parse {
        name: String,
        statement: PreparedStatement,
    },
    Bind {
        portal: String,
        statement: PreparedStatement,
        /// Parameters and formats as the client sent them.
        rest: Bytes,
    },
    DescribeStatement(PreparedStatement),
    DescribePortal {
        portal: String,
        frame: Frame,
    },
    Execute {
        portal: String,
        frame: Frame,
    },
    CloseStatement,
    ClosePortal(Frame),
}

impl Message {
    /// Decodes a message. Parse adds its statement to the session; Bind and Describe look it up.
    pub(crate) fn read(
        frame: Frame,
        organisation: &str,
        session: &mut Session,
    ) -> Result<Self, Refusal> {
        let mut reader = BodyReader::new(&frame);
        match frame.tag() {
            tag::PARSE => {
                let name = reader.string()?;
                let sql = reader.string()?;
                let classes = classify::classify(&sql)?;
                if let Some(refusal) = unsupported(&classes) {
                    return Err(refusal);
                }
                let types = reader.rest().to_vec();
                let statement = PreparedStatement::new(organisation, sql, types, classes);
                if !session.prepare(name.clone(), statement.clone()) {
                    return Err(Refusal::TooManyStatements);
                }
                Ok(Self::Parse { name, statement })
            }
            tag::BIND => {
                let portal = reader.string()?;
                let statement = find(session, reader.string()?)?;
                let rest = reader.rest();
                Ok(Self::Bind {
                    portal,
                    statement,
                    rest,
                })
            }
            tag::EXECUTE => {
                let portal = reader.string()?;
                Ok(Self::Execute { portal, frame })
            }
            tag::DESCRIBE => match reader.byte()? {
                STATEMENT => Ok(Self::DescribeStatement(find(session, reader.string()?)?)),
                PORTAL => Ok(Self::DescribePortal {
                    portal: reader.string()?,
                    frame,
                }),
                _ => Err(malformed(&frame)),
            },
            tag::CLOSE => match reader.byte()? {
                STATEMENT => {
                    let name = reader.string()?;
                    session.deallocate(Some(&name));
                    Ok(Self::CloseStatement)
                }
                PORTAL => Ok(Self::ClosePortal(frame)),
                _ => Err(malformed(&frame)),
            },
            other => Err(Refusal::Unexpected(char::from(other))),
        }
    }
}

/// Returns the refusal for the first unsupported statement, if any.
pub(crate) fn unsupported(classes: &[StatementClass]) -> Option<Refusal> {
    let own = |class: &StatementClass| match class {
        StatementClass::Set(change) => change.is_proxy_variable(),
        StatementClass::Show(_) | StatementClass::DiscardAll | StatementClass::Deallocate(_) => {
            true
        }
        _ => false,
    };
    if classes.len() > 1 && classes.iter().any(own) {
        return Some(Refusal::Unsupported {
            statement: "several statements with one that the proxy interprets",
            alternative: "send SET magnoliahatch..., DISCARD and DEALLOCATE alone",
        });
    }
    classes.iter().find_map(|class| match class {
        StatementClass::Unsupported {
            statement,
            alternative,
        } => Some(Refusal::Unsupported {
            statement,
            alternative,
        }),
        _ => None,
    })
}

fn find(session: &Session, name: String) -> Result<PreparedStatement, Refusal> {
    let statement = session.statement(&name).cloned();
    statement.ok_or(Refusal::UnknownStatement(name))
}

fn malformed(frame: &Frame) -> Refusal {
    FrameError::Malformed(char::from(frame.tag())).into()
}
