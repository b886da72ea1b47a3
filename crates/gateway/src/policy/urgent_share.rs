//! Decides from a host's operations whether rates are granted by priority.

/// Operations of priority 0 among all from which their priority matters: one in this many. A
/// configuration may hold routes of priority 0 that hardly any operation uses.
const MIN_SHARE_DIVISOR: u32 = 50;
/// Number of operations from which the share is known. Until then the configuration alone decides, so
/// that a host that has just started serves worthy operations first.
const MIN_COUNT: u32 = 8;
/// Number of operations at which both counts are halved, so that the share follows the present load.
const MAX_COUNT: u32 = 256;

/// Share of operations of priority 0 among the recent operations of a host.
#[derive(Debug, Default)]
pub struct UrgentShare {
    urgent: u32,
    all: u32,
}

impl UrgentShare {
    /// Records an operation.
    pub fn record(&mut self, priority: u32) {
        if self.all >= MAX_COUNT {
            self.urgent /= 2;
            self.all /= 2;
        }
        self.urgent += u32::from(priority == 0);
        self.all += 1;
    }

    /// Whether enough operations are of priority 0 to grant rates by priority.
    pub fn ranks_operations(&self) -> bool {
        self.all < MIN_COUNT || self.urgent * MIN_SHARE_DIVISOR >= self.all
    }
}
