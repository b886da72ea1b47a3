//! Messages of one request to the endpoint, and the responses expected to them.

use bytes::BufMut;
use bytes::BytesMut;
use magnoliahatch_core::connection_state::ConnectionState;
use magnoliahatch_core::prepared::PreparedStatement;
use magnoliahatch_core::statement_class::StatementClass;

use crate::wire::frame::Frame;
use crate::wire::tag;

/// Type of a message, which determines the response to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MessageKind {
    Parse,
    Bind,
    Describe,
    Execute,
    Close,
}

impl MessageKind {
    /// Whether a message with the type byte `found` completes the response.
    pub(crate) fn is_answered_by(self, found: u8) -> bool {
        match self {
            Self::Parse => found == tag::PARSE_COMPLETE,
            Self::Bind => found == tag::BIND_COMPLETE,
            Self::Describe => matches!(found, tag::ROW_DESCRIPTION | tag::NO_DATA),
            Self::Execute => matches!(
                found,
                tag::COMMAND_COMPLETE | tag::EMPTY_QUERY | tag::PORTAL_SUSPENDED
            ),
            Self::Close => found == tag::CLOSE_COMPLETE,
        }
    }
}

/// How the proxy handles the response to one message.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    /// The response is forwarded to the client. The classes are those that an Execute completes.
    Forward(MessageKind, Vec<StatementClass>),
    /// The response belongs to a message that the proxy added, and is discarded.
    Discard(MessageKind),
    /// The proxy produces the response itself.
    Local(Vec<Frame>),
}

/// Messages to send to the endpoint and how their responses are handled.
#[derive(Debug, Default)]
pub(crate) struct Pipeline {
    pub(crate) frames: Vec<Frame>,
    pub(crate) steps: Vec<Step>,
    /// Shared names of the statements that are parsed.
    pub(crate) parsed: Vec<String>,
    /// Whether a prepared statement is closed to stay below the limit.
    pub(crate) closes: bool,
}

impl Pipeline {
    /// Adds a message whose response is forwarded to the client.
    pub(crate) fn forward(
        &mut self,
        kind: MessageKind,
        frame: Frame,
        classes: Vec<StatementClass>,
    ) {
        self.frames.push(frame);
        self.steps.push(Step::Forward(kind, classes));
    }

    /// Adds a statement of the proxy. If it fails, the endpoint skips the messages after it.
    pub(crate) fn prepare(&mut self, sql: &str) {
        let mut parse = BytesMut::new();
        parse.put_u8(0);
        parse.put_slice(sql.as_bytes());
        // Terminator, then zero parameter types.
        parse.put_slice(&[0, 0, 0]);
        self.discard(MessageKind::Parse, Frame::new(tag::PARSE, &parse));
        // Unnamed portal and statement, then zero formats, parameters and result formats.
        self.discard(MessageKind::Bind, Frame::new(tag::BIND, &[0; 8]));
        // Unnamed portal, no row limit.
        self.discard(MessageKind::Execute, Frame::new(tag::EXECUTE, &[0; 5]));
    }

    /// Adds a Parse under the shared name unless the connection already has the statement.
    pub(crate) fn parse(
        &mut self,
        statement: &PreparedStatement,
        connection_state: &mut ConnectionState,
        pass: bool,
    ) {
        if connection_state.has_statement(&statement.shared_name) {
            if pass {
                let complete = Frame::new(tag::PARSE_COMPLETE, &[]);
                self.steps.push(Step::Local(vec![complete]));
            }
            return;
        }
        if let Some(oldest) = connection_state.add_statement(&statement.shared_name) {
            self.closes = true;
            let mut close = vec![b'S'];
            close.extend_from_slice(oldest.as_bytes());
            close.push(0);
            self.discard(MessageKind::Close, Frame::new(tag::CLOSE, &close));
        }
        self.parsed.push(statement.shared_name.clone());
        let mut parse = BytesMut::new();
        put_string(&mut parse, &statement.shared_name);
        put_string(&mut parse, &statement.sql);
        parse.put_slice(&statement.types);
        let frame = Frame::new(tag::PARSE, &parse);
        if pass {
            self.forward(MessageKind::Parse, frame, Vec::new());
        } else {
            self.discard(MessageKind::Parse, frame);
        }
    }

    fn discard(&mut self, kind: MessageKind, frame: Frame) {
        self.frames.push(frame);
        self.steps.push(Step::Discard(kind));
    }
}

/// Appends a zero-terminated string.
pub(crate) fn put_string(body: &mut BytesMut, text: &str) {
    body.put_slice(text.as_bytes());
    body.put_u8(0);
}
