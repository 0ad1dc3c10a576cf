//! Maps the limiter's refusals to the codes sent to callers.

use limits::Refusal;
use requests::refusal::Code;

/// The code for a refusal: reached limits concern the caller, overload concerns the service.
pub(crate) fn code_of(refusal: Refusal) -> Code {
    match refusal.code {
        limits::Code::CustomerLimit | limits::Code::OfferLimit => Code::Limited,
        limits::Code::Overloaded | limits::Code::QueueFull => Code::Overloaded,
    }
}
