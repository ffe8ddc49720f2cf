//! Checks the secrets of peers and operators.

use actix_web::guard::GuardContext;
use pimentoslip_kernel::fingerprint;

/// Whether the request has exactly one `header`, and its value is `secret`. Compares hashes first, so that the duration
/// of the comparison reveals nothing about the secret.
pub fn has_secret(context: &GuardContext<'_>, header: &str, secret: &str) -> bool {
    let mut values = context.head().headers().get_all(header);
    let (Some(value), None) = (values.next(), values.next()) else { return false };
    fingerprint(&[value.as_bytes()]) == fingerprint(&[secret.as_bytes()]) && value.as_bytes() == secret.as_bytes()
}
