//! The interface that an adapter implements: codecs, the store and the promotion call.

use std::future::Future;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Revision;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::model::command::Command;
use crate::model::kind::ObjectKind;
use crate::model::member_status::MemberStatus;
use crate::model::object::Changes;
use crate::model::object::Content;
use crate::model::object::Listing;
use crate::model::object::Object;
use crate::model::reply::Reply;
use crate::model::request::Request;
use crate::model::usage_report::UsageReport;
use crate::promote_error::PromoteError;
use crate::report_error::ReportError;
use crate::store_error::StoreError;
use crate::wire_error::WireError;

/// The codecs and the store client of a platform.
pub trait Platform: 'static {
    /// Decodes requests of clients and encodes the replies.
    type ClientCodec: Decoder<Item = Request, Error = WireError>
        + Encoder<Reply, Error = WireError>
        + Default
        + 'static;
    /// Encodes commands to members and decodes the replies.
    type MemberCodec: Decoder<Item = Reply, Error = WireError>
        + Encoder<Command, Error = WireError>
        + Default
        + 'static;
    type Store: Store;

    /// Parses the row with which a member answers `Command::Status`.
    fn member_status(row: &[u8]) -> Option<MemberStatus>;
}

/// A request to the platform to promote a member.
#[derive(Debug, Clone)]
pub struct PromotionOrder {
    pub service: String,
    pub member: MemberId,
    pub holder: HostId,
    /// Increases each time that any host claims the duty.
    pub fencing_token: Revision,
    /// Time of the process's clock after which the order must not arrive: another host may then
    /// order a promotion.
    pub deadline: Duration,
}

/// A call that brings a usage report to the platform.
#[derive(Debug, Clone)]
pub struct UsageCall {
    pub report: UsageReport,
    pub holder: HostId,
    /// Increases each time that any host writes the record of the duty.
    pub fencing_token: Revision,
    /// Time of the process's clock after which the call must not arrive: another host may then send
    /// reports.
    pub deadline: Duration,
}

/// A client of the platform's store and of its calls.
pub trait Store: Clone + 'static {
    /// Lists all objects of a kind.
    fn list(&self, kind: ObjectKind) -> impl Future<Output = Result<Listing, StoreError>>;

    /// Reads one page of the list of a kind, of the objects whose names follow `after`.
    fn page(
        &self,
        kind: ObjectKind,
        after: &str,
    ) -> impl Future<Output = Result<Vec<Object>, StoreError>>;

    /// Returns the current revision of the whole store.
    fn revision(&self) -> impl Future<Output = Result<Revision, StoreError>>;

    /// Makes later calls use new connections, since the open ones may be broken.
    fn reconnect(&self);

    /// Returns the changes after a revision. Waits up to `wait` if there are none.
    fn watch(
        &self,
        kind: ObjectKind,
        from: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>>;

    /// Writes an object if its revision is `expected`; `None` if the object must not exist.
    fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: Option<Revision>,
        content: &Content,
    ) -> impl Future<Output = Result<Object, StoreError>>;

    /// Removes an object if its revision is `expected`.
    fn remove(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: Revision,
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Requests a promotion. The order must not be executed after an answer or an error was
    /// returned, nor if the future is dropped.
    fn promote(&self, order: &PromotionOrder) -> impl Future<Output = Result<(), PromoteError>>;

    /// Sends a usage report, under the same condition.
    fn report_usage(&self, call: &UsageCall) -> impl Future<Output = Result<(), ReportError>>;
}
