//! A connection lent to a channel.

use std::ops::Deref;
use std::ops::DerefMut;
use std::rc::Rc;

use crate::member::connection::Connection;
use crate::member::pool::Pool;
use crate::platform::Platform;

/// A connection in use. Dropping it closes the connection; `give_back` keeps it.
pub struct Lease<P: Platform> {
    pool: Rc<Pool<P>>,
    connection: Option<Connection<P>>,
}

impl<P: Platform> Lease<P> {
    pub(super) fn new(pool: Rc<Pool<P>>, connection: Connection<P>) -> Self {
        Self {
            pool,
            connection: Some(connection),
        }
    }

    /// Returns a connection that is outside any transaction and has no answer outstanding.
    pub fn give_back(mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.on_returned(connection);
        }
    }
}

impl<P: Platform> Deref for Lease<P> {
    type Target = Connection<P>;

    fn deref(&self) -> &Self::Target {
        self.connection.as_ref().expect("taken only when consumed")
    }
}

impl<P: Platform> DerefMut for Lease<P> {
    fn deref_mut(&mut self) -> &mut Self::Target {
        self.connection.as_mut().expect("taken only when consumed")
    }
}

impl<P: Platform> Drop for Lease<P> {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.pool.on_closed();
        }
    }
}
