//! Fields of the heads of HTTP messages.

/// End of a head.
pub const HEAD_END: &[u8] = b"\r\n\r\n";

/// Length of the head that `bytes` start with, with its end; `None` if it is not complete.
pub fn head_length(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
    Some(end + HEAD_END.len())
}

/// Names and values of the fields of `head`.
pub fn head_fields(head: &[u8]) -> impl Iterator<Item = (&[u8], &[u8])> {
    head.split(|byte| *byte == b'\n').filter_map(|line| {
        let colon = line.iter().position(|byte| *byte == b':')?;
        Some((&line[..colon], line[colon + 1..].trim_ascii()))
    })
}

/// Value of the first field `name` of `head`.
pub fn head_field<'a>(head: &'a [u8], name: &str) -> Option<&'a [u8]> {
    head_fields(head).find(|(other_name, _)| other_name.eq_ignore_ascii_case(name.as_bytes())).map(|(_, value)| value)
}
