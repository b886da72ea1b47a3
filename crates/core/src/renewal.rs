//! When a borrower asks its pooling host again.

use std::time::Duration;

use crate::ids::HostId;
use crate::share::Share;
use crate::share::Unit;

/// Time between two requests for the same loan. Two fit into a loan, so that one lost message
/// does not end it.
const RENEW: Duration = Duration::from_millis(400);
/// Time between two requests while statements wait.
const URGENT: Duration = Duration::from_millis(40);
/// A loan request is repeated early when the want has changed by this factor.
const CHANGED: f64 = 1.3;

/// Whether to ask the pooling host now: soon while statements wait or the want has changed,
/// otherwise in time to renew what is held.
pub(crate) fn borrow_due(
    share: &Share,
    owner: &HostId,
    want: f64,
    unit: Unit,
    now: Duration,
) -> bool {
    let held = share.loan(owner, now);
    let Some((at, last)) = share.last_request(owner) else {
        return want > 0.0;
    };
    if want <= 0.0 && held.is_zero() && last.rate <= 0.0 {
        return false;
    }
    let changed = match unit {
        Unit::Rate => want > last.rate * CHANGED || want * CHANGED < last.rate,
        Unit::Whole => (want - last.rate).abs() >= 1.0,
    };
    let short = want > held.rate;
    let pause = if changed || (short && share.demand.waiting() > 0) {
        URGENT
    } else {
        RENEW
    };
    now >= at + pause
}
