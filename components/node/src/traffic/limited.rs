//! What callers are told of limits and overload.

use limits::Refusal;
use requests::refusal::Code;

/// A limit is the caller's to keep to; overload is ours.
pub(crate) fn code_of(refusal: Refusal) -> Code {
    match refusal.code {
        limits::Code::CustomerLimit | limits::Code::OfferLimit => Code::Limited,
        limits::Code::Overloaded | limits::Code::QueueFull => Code::Overloaded,
    }
}
