//! Tells final answers of HTTP from what else a target may send in their place.

#[cfg(test)]
mod tests;

use std::error::Error;
use std::io::{
    self,
    ErrorKind, //
};
use std::ops::RangeInclusive;

use http::StatusCode;

/// The statuses that end a request. Of the lower ones, the library skips all but 101, with which a target
/// changes to a protocol that no request here asks for. Higher ones are invalid (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Whether an answer with this status ends its request.
pub(crate) fn is_final_status(status: StatusCode) -> bool {
    FINAL_STATUSES.contains(&status.as_u16())
}

/// Whether an exchange failed since the target sent bytes that are no answer, so that it has not ended.
pub(crate) fn is_no_answer(e: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(e);
    while let Some(e) = cause {
        let is_unreadable = e
            .downcast_ref::<hyper::Error>()
            .is_some_and(hyper::Error::is_parse);
        let is_invalid = e
            .downcast_ref::<io::Error>()
            .is_some_and(|e| matches!(e.kind(), ErrorKind::InvalidData | ErrorKind::InvalidInput));
        if is_unreadable || is_invalid {
            return true;
        }
        cause = e.source();
    }
    false
}
