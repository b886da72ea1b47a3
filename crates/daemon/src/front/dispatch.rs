//! Handles one client request: answers it locally or runs it at an endpoint.

use std::time::Instant;

use magnoliahatch_core::classify;
use magnoliahatch_core::session::TxStatus;
use magnoliahatch_core::statement_class::StatementClass;

use crate::front::batch;
use crate::front::batch::Batch;
use crate::front::execute::Request;
use crate::front::execute::RequestError;
use crate::front::message;
use crate::front::refusal::Refusal;
use crate::front::session::Session;
use crate::front::session::SessionEnd;
use crate::wire::body_reader::BodyReader;
use crate::wire::encode;
use crate::wire::frame::Frame;
use crate::wire::tag;

impl Session {
    pub(super) async fn on_query(&mut self, frame: Frame) -> Result<(), RequestError> {
        if let Some(refusal) = self.pending_refusal.take() {
            return Err(refusal.into());
        }
        let sql = BodyReader::new(&frame).string()?;
        let classes = classify::classify(&sql)?;
        if self.rolled_back {
            if !matches!(
                classes.as_slice(),
                [StatementClass::Rollback | StatementClass::Commit]
            ) {
                return Err(Refusal::Aborted.into());
            }
            self.rolled_back = false;
            return self
                .answer(vec![encode::command_complete("ROLLBACK")], true)
                .await;
        }
        if let Some(refusal) = message::unsupported(&classes) {
            return Err(refusal.into());
        }
        if batch::is_proxy_command(&classes) {
            let mut frames = self.interpret(&classes[0])?;
            if let StatementClass::Show(name) = &classes[0] {
                let [description, _] = encode::single_row(name, "");
                frames.insert(0, description);
            }
            return self.answer(frames, true).await;
        }
        if classes.is_empty() {
            return self
                .answer(vec![Frame::new(tag::EMPTY_QUERY, &[])], true)
                .await;
        }
        self.run(&Request::Query { frame, classes }, true).await
    }

    pub(super) async fn on_batch(
        &mut self,
        batch: Batch,
        to_ready: bool,
    ) -> Result<(), RequestError> {
        if let Some(refusal) = self.pending_refusal.take() {
            return Err(refusal.into());
        }
        if self.rolled_back {
            let frames = batch.rollback_answers().ok_or(Refusal::Aborted)?;
            self.rolled_back = !batch.executes();
            return self.answer(frames, to_ready).await;
        }
        if !self.unsynced
            && let Some(frames) = batch.local_answers()
        {
            return self.answer(frames, to_ready).await;
        }
        let names: Vec<String> = batch.prepared_names().map(str::to_owned).collect();
        let result = self.run(&Request::Batch(batch), to_ready).await;
        if result.is_err() {
            // For the client these statements do not exist, so it may prepare them again.
            for name in names {
                self.state.deallocate(Some(&name));
            }
        }
        result
    }

    /// Sends an answer that the proxy produced itself.
    pub(crate) async fn answer(
        &mut self,
        frames: Vec<Frame>,
        to_ready: bool,
    ) -> Result<(), RequestError> {
        let deadline = Instant::now() + self.time_limit;
        let ready = to_ready.then(|| encode::ready_for_query(self.status()));
        for frame in frames.into_iter().chain(ready) {
            let sent = self.client.feed(frame, deadline).await;
            sent.map_err(|_| RequestError::Ended(SessionEnd::Closed))?;
        }
        let flushed = self.client.flush(deadline).await;
        flushed.map_err(|_| RequestError::Ended(SessionEnd::Closed))
    }

    /// Sends a refusal to the client. An open transaction is rolled back and stays failed until the
    /// client ends it, as after any error.
    pub(super) async fn report(
        &mut self,
        result: Result<(), RequestError>,
        to_ready: bool,
    ) -> Result<(), SessionEnd> {
        let refusal = match result {
            Ok(()) => return Ok(()),
            Err(RequestError::Ended(end)) => return Err(end),
            Err(RequestError::Refused(refusal)) => refusal,
        };
        tracing::debug!(event = 205, code = refusal.code(), %refusal, "request refused");
        let metrics = &self.context.metrics;
        metrics.count_refusal(&self.identity.organisation, refusal.code());
        if self.state.status != TxStatus::Idle || self.pooled.is_some() {
            self.rolled_back |= self.state.status != TxStatus::Idle;
            self.roll_back().await;
            self.unsynced = false;
        }
        self.skipping_to_sync = !to_ready;
        self.batch = Batch::default();
        match self.answer(vec![refusal.frame(false)], to_ready).await {
            Ok(()) => Ok(()),
            Err(RequestError::Ended(end)) => Err(end),
            Err(RequestError::Refused(refusal)) => Err(SessionEnd::Fatal(refusal)),
        }
    }

    /// Handles Sync after an error; forwards it if the endpoint still expects a Sync.
    pub(super) async fn resynchronise(&mut self) -> Result<(), SessionEnd> {
        let result = if self.unsynced {
            self.run(&Request::Batch(Batch::default()), true).await
        } else {
            self.answer(Vec::new(), true).await
        };
        self.report(result, true).await
    }
}
