//! A connection taken from a pool.

use std::ops::Deref;
use std::ops::DerefMut;
use std::rc::Rc;

use crate::member::connection::Connection;
use crate::member::pool::Pool;
use crate::platform::Platform;

/// A connection in use. `release` returns it to the pool; dropping it closes the connection.
pub struct PooledConnection<P: Platform> {
    pool: Rc<Pool<P>>,
    connection: Option<Connection<P>>,
}

impl<P: Platform> PooledConnection<P> {
    pub(super) fn new(pool: Rc<Pool<P>>, connection: Connection<P>) -> Self {
        Self {
            pool,
            connection: Some(connection),
        }
    }

    /// Returns the connection to the pool, or closes it if it would keep too much memory. It must be outside any transaction and have no
    /// outstanding answer.
    pub fn release(mut self) {
        let may_idle = self.connection.as_mut().is_some_and(|c| c.prepare_idle());
        if may_idle && let Some(connection) = self.connection.take() {
            self.pool.on_returned(connection);
        }
    }
}

impl<P: Platform> Deref for PooledConnection<P> {
    type Target = Connection<P>;

    fn deref(&self) -> &Self::Target {
        self.connection.as_ref().expect("taken only when consumed")
    }
}

impl<P: Platform> DerefMut for PooledConnection<P> {
    fn deref_mut(&mut self) -> &mut Self::Target {
        self.connection.as_mut().expect("taken only when consumed")
    }
}

impl<P: Platform> Drop for PooledConnection<P> {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.pool.on_closed();
        }
    }
}
