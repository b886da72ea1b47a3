//! What an adapter provides: codecs, the store and the promotion call.

use std::future::Future;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Revision;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::model::command::Command;
use crate::model::kind::Kind;
use crate::model::member_status::MemberStatus;
use crate::model::object::Changes;
use crate::model::object::Content;
use crate::model::object::Listing;
use crate::model::object::Object;
use crate::model::reply::Reply;
use crate::model::request::Request;
use crate::promote_error::PromoteError;
use crate::store_error::StoreError;
use crate::wire_error::WireError;

/// Codecs and clients of one platform.
pub trait Platform: 'static {
    /// Decodes a client's messages and encodes the answers.
    type ClientCodec: Decoder<Item = Request, Error = WireError>
        + Encoder<Reply, Error = WireError>
        + Default
        + 'static;
    /// Encodes commands to a member and decodes its answers.
    type MemberCodec: Decoder<Item = Reply, Error = WireError>
        + Encoder<Command, Error = WireError>
        + Default
        + 'static;
    type Store: Store;

    /// Reads the row that a member answers to `Command::Status`.
    fn member_status(row: &[u8]) -> Option<MemberStatus>;
}

/// A promotion that the platform is asked for.
#[derive(Debug, Clone)]
pub struct PromotionOrder {
    pub service: String,
    pub member: MemberId,
    pub holder: HostId,
    /// Grows with each claim of the duty, over all hosts.
    pub fencing_token: Revision,
}

/// The platform's store and its promotion call.
pub trait Store: Clone + 'static {
    /// Lists all objects of a kind.
    fn list(&self, kind: Kind) -> impl Future<Output = Result<Listing, StoreError>>;

    /// Present revision of the whole store.
    fn revision(&self) -> impl Future<Output = Result<Revision, StoreError>>;

    /// Opens new connections for the calls from now on; known ones may have gone silent.
    fn reconnect(&self);

    /// Waits up to `wait` for changes after a revision.
    fn watch(
        &self,
        kind: Kind,
        from: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>>;

    /// Writes an object. `expected` is its present revision, none if it must not exist.
    fn put(
        &self,
        kind: Kind,
        name: &str,
        expected: Option<Revision>,
        content: &Content,
    ) -> impl Future<Output = Result<Object, StoreError>>;

    /// Removes an object if it still has this revision.
    fn remove(
        &self,
        kind: Kind,
        name: &str,
        expected: Revision,
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Orders a promotion.
    fn promote(&self, order: &PromotionOrder) -> impl Future<Output = Result<(), PromoteError>>;
}
