//! What a session keeps between statements: values and prepared statements.

use std::collections::HashMap;

use bytes::Bytes;

use crate::held_bytes::HeldBytes;
use crate::held_bytes::HeldFor;
use crate::model::error_code::ErrorCode;
use crate::model::job::Values;
use crate::model::outcome::Cause;
use crate::model::outcome::Failure;
use crate::model::outcome::failure;
use crate::model::statement::Access;
use crate::policy::client_limits::ClientLimits;

/// Counted for each value and prepared statement beside its texts, in bytes.
const ITEM_BYTES: usize = 128;

/// Values and prepared statements of a session, up to its limits.
#[derive(Debug)]
pub struct SessionState {
    limits: ClientLimits,
    values: Values,
    prepared: HashMap<Bytes, (Access, Bytes)>,
    /// Counted size of all values and prepared statements.
    bytes: usize,
}

impl SessionState {
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            values: Values::new(),
            prepared: HashMap::new(),
            bytes: 0,
        }
    }

    /// The values, sorted by name.
    pub fn values(&self) -> &Values {
        &self.values
    }

    /// The prepared statement of this name.
    pub fn prepared(&self, name: &Bytes) -> Option<&(Access, Bytes)> {
        self.prepared.get(name)
    }

    pub fn set(&mut self, name: &[u8], value: &[u8], held: &mut HeldBytes) -> Result<(), Failure> {
        let found = self.values.binary_search_by(|v| v.0[..].cmp(name));
        let former = found.map_or(0, |index| size(name, &self.values[index].1));
        self.reserve(former, size(name, value), held)?;
        // The texts are copied, since they share the buffer of the whole message.
        let value = Bytes::copy_from_slice(value);
        match found {
            Ok(index) => self.values[index].1 = value,
            Err(index) => {
                let name = Bytes::copy_from_slice(name);
                self.values.insert(index, (name, value));
            }
        }
        Ok(())
    }

    pub fn prepare(
        &mut self,
        name: &[u8],
        access: Access,
        template: &[u8],
        held: &mut HeldBytes,
    ) -> Result<(), Failure> {
        let former = self.prepared.get(name).map_or(0, |p| size(name, &p.1));
        self.reserve(former, size(name, template), held)?;
        let name = Bytes::copy_from_slice(name);
        let template = Bytes::copy_from_slice(template);
        self.prepared.insert(name, (access, template));
        Ok(())
    }

    /// Removes a prepared statement. Returns whether there was one.
    pub fn deallocate(&mut self, name: &[u8], held: &mut HeldBytes) -> bool {
        let Some((_, template)) = self.prepared.remove(name) else {
            return false;
        };
        self.bytes -= size(name, &template);
        held.set(HeldFor::State, self.bytes as u64);
        true
    }

    /// Replaces an item of the former size by one of the new size, if the limits permit it.
    fn reserve(&mut self, former: usize, new: usize, held: &mut HeldBytes) -> Result<(), Failure> {
        let bytes = self.bytes - former + new;
        let items = self.values.len() + self.prepared.len() + usize::from(former == 0);
        let grows = new > former;
        if grows
            && (bytes as u64 > self.limits.max_session_bytes
                || items > self.limits.max_session_items)
        {
            return Err(failure(ErrorCode::TooLarge, Cause::Message));
        }
        if !held.try_set(HeldFor::State, bytes as u64) {
            return Err(failure(ErrorCode::Busy, Cause::Queue));
        }
        self.bytes = bytes;
        Ok(())
    }
}

fn size(name: &[u8], text: &[u8]) -> usize {
    name.len() + text.len() + ITEM_BYTES
}
