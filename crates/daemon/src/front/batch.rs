//! Collects messages of the extended protocol up to Sync or Flush.

use std::collections::HashMap;

use bytes::BufMut;
use bytes::BytesMut;
use magnoliahatch_core::connection_state::ConnectionState;
use magnoliahatch_core::statement_class::StatementClass;

use crate::front::message::Message;
use crate::front::pipeline::MessageKind;
use crate::front::pipeline::Pipeline;
use crate::front::pipeline::Step;
use crate::front::pipeline::put_string;
use crate::wire::encode;
use crate::wire::frame::Frame;
use crate::wire::tag;

/// Classes of the statements bound to each open portal.
pub(crate) type Portals = HashMap<String, Vec<StatementClass>>;

/// Messages of the extended protocol up to Sync or Flush.
#[derive(Debug, Clone, Default)]
pub(crate) struct Batch {
    pub(crate) messages: Vec<Message>,
    /// Responses that the proxy produces itself, by index of the message.
    local: HashMap<usize, Vec<Frame>>,
    /// Classes of all statements that are executed at the endpoint.
    pub(crate) classes: Vec<StatementClass>,
    /// Total size of the messages in bytes.
    pub(crate) size: usize,
}

impl Batch {
    /// Adds a message. If it executes a proxy command, returns its class; the response must then be
    /// added with `answer_last`.
    pub(crate) fn push(
        &mut self,
        message: Message,
        portals: &mut Portals,
    ) -> Option<StatementClass> {
        let index = self.messages.len();
        let mut own = None;
        match &message {
            Message::Parse { statement, .. } if is_proxy_command(&statement.classes) => {
                self.answer(index, vec![Frame::new(tag::PARSE_COMPLETE, &[])]);
            }
            Message::Bind {
                portal, statement, ..
            } => {
                portals.insert(portal.clone(), statement.classes.clone());
                if is_proxy_command(&statement.classes) {
                    self.answer(index, vec![Frame::new(tag::BIND_COMPLETE, &[])]);
                }
            }
            Message::DescribeStatement(statement) if is_proxy_command(&statement.classes) => {
                let parameters = Frame::new(tag::PARAMETER_DESCRIPTION, &[0, 0]);
                let mut frames = vec![parameters];
                frames.extend(describe(&statement.classes));
                self.answer(index, frames);
            }
            Message::DescribePortal { portal, .. } => {
                if let Some(classes) = portals
                    .get(portal)
                    .filter(|classes| is_proxy_command(classes))
                {
                    self.answer(index, describe(classes));
                }
            }
            Message::Execute { portal, .. } => {
                if let Some(classes) = portals.get(portal) {
                    if is_proxy_command(classes) {
                        own = classes.first().cloned();
                    } else {
                        self.classes.extend(classes.iter().cloned());
                    }
                }
            }
            Message::CloseStatement => {
                self.answer(index, vec![Frame::new(tag::CLOSE_COMPLETE, &[])]);
            }
            _ => {}
        }
        self.messages.push(message);
        own
    }

    /// Sets the response of the proxy to the message added last.
    pub(crate) fn answer_last(&mut self, frames: Vec<Frame>) {
        self.answer(self.messages.len() - 1, frames);
    }

    /// Returns all responses, or `None` if one of them needs the endpoint.
    pub(crate) fn local_answers(&self) -> Option<Vec<Frame>> {
        (self.local.len() == self.messages.len()).then(|| {
            (0..self.messages.len())
                .filter_map(|index| self.local.get(&index))
                .flatten()
                .cloned()
                .collect()
        })
    }

    /// Returns the responses that end a transaction already rolled back, or `None` if the batch
    /// does anything else.
    pub(crate) fn rollback_answers(&self) -> Option<Vec<Frame>> {
        let ends = |classes: &[StatementClass]| {
            matches!(classes, [StatementClass::Rollback | StatementClass::Commit])
        };
        let mut frames = Vec::new();
        for message in &self.messages {
            match message {
                Message::Parse { statement, .. } if ends(&statement.classes) => {
                    frames.push(Frame::new(tag::PARSE_COMPLETE, &[]));
                }
                Message::Bind { statement, .. } if ends(&statement.classes) => {
                    frames.push(Frame::new(tag::BIND_COMPLETE, &[]));
                }
                Message::DescribeStatement(statement) if ends(&statement.classes) => {
                    frames.push(Frame::new(tag::PARAMETER_DESCRIPTION, &[0, 0]));
                    frames.push(Frame::new(tag::NO_DATA, &[]));
                }
                Message::DescribePortal { .. } => frames.push(Frame::new(tag::NO_DATA, &[])),
                Message::Execute { .. } => frames.push(encode::command_complete("ROLLBACK")),
                Message::CloseStatement | Message::ClosePortal(_) => {
                    frames.push(Frame::new(tag::CLOSE_COMPLETE, &[]));
                }
                _ => return None,
            }
        }
        self.classes
            .iter()
            .all(|c| ends(std::slice::from_ref(c)))
            .then_some(frames)
    }

    /// Whether the batch executes a statement at the endpoint.
    pub(crate) fn executes(&self) -> bool {
        !self.classes.is_empty()
    }

    /// Names of the statements that the batch prepares.
    pub(crate) fn prepared_names(&self) -> impl Iterator<Item = &str> {
        self.messages.iter().filter_map(|message| match message {
            Message::Parse { name, .. } => Some(name.as_str()),
            _ => None,
        })
    }

    /// Builds the messages for a connection, preceded by the setup statements that it needs.
    pub(crate) fn pipeline(
        &self,
        setup: &[String],
        connection_state: &mut ConnectionState,
        portals: &Portals,
    ) -> Pipeline {
        let mut pipeline = Pipeline::default();
        for sql in setup {
            pipeline.prepare(sql);
        }
        for (index, message) in self.messages.iter().enumerate() {
            if let Some(frames) = self.local.get(&index) {
                pipeline.steps.push(Step::Local(frames.clone()));
                continue;
            }
            match message {
                Message::Parse { statement, .. } => {
                    pipeline.parse(statement, connection_state, true)
                }
                Message::Bind {
                    portal,
                    statement,
                    rest,
                } => {
                    pipeline.parse(statement, connection_state, false);
                    let mut body = BytesMut::new();
                    put_string(&mut body, portal);
                    put_string(&mut body, &statement.shared_name);
                    body.put_slice(rest);
                    pipeline.forward(MessageKind::Bind, Frame::new(tag::BIND, &body), Vec::new());
                }
                Message::DescribeStatement(statement) => {
                    pipeline.parse(statement, connection_state, false);
                    let mut body = BytesMut::from(&b"S"[..]);
                    put_string(&mut body, &statement.shared_name);
                    pipeline.forward(
                        MessageKind::Describe,
                        Frame::new(tag::DESCRIBE, &body),
                        Vec::new(),
                    );
                }
                Message::DescribePortal { frame, .. } => {
                    pipeline.forward(MessageKind::Describe, frame.clone(), Vec::new());
                }
                Message::Execute { portal, frame } => {
                    let classes = portals.get(portal).cloned().unwrap_or_default();
                    pipeline.forward(MessageKind::Execute, frame.clone(), classes);
                }
                Message::ClosePortal(frame) => {
                    pipeline.forward(MessageKind::Close, frame.clone(), Vec::new());
                }
                // Connections keep shared statements until newer ones displace them.
                Message::CloseStatement => {}
            }
        }
        pipeline
    }

    fn answer(&mut self, index: usize, frames: Vec<Frame>) {
        self.local.insert(index, frames);
    }
}

/// Whether the statement is a proxy command, which is not sent to an endpoint.
pub(crate) fn is_proxy_command(classes: &[StatementClass]) -> bool {
    match classes {
        [StatementClass::Set(change)] => change.is_proxy_variable(),
        [StatementClass::Show(_) | StatementClass::DiscardAll | StatementClass::Deallocate(_)] => {
            true
        }
        _ => false,
    }
}

fn describe(classes: &[StatementClass]) -> Vec<Frame> {
    match classes {
        [StatementClass::Show(name)] => {
            let [description, _] = encode::single_row(name, "");
            vec![description]
        }
        _ => vec![Frame::new(tag::NO_DATA, &[])],
    }
}
