//! The little of JSON and base64 that the store needs.

/// Finds the text of a string field in a flat document.
pub fn text_field<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let at = body.find(&format!("\"{name}\""))?;
    let rest = &body[at + name.len() + 2..];
    let rest = rest.trim_start().strip_prefix(':')?.trim_start();
    rest.strip_prefix('"')?.split('"').next()
}

/// Finds the number of a field in a flat document.
pub fn number_field(body: &str, name: &str) -> Option<u64> {
    let at = body.find(&format!("\"{name}\""))?;
    let rest = &body[at + name.len() + 2..];
    let rest = rest.trim_start().strip_prefix(':')?.trim_start();
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

/// Encodes bytes in standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = (0..3).fold(0u32, |n, i| n << 8 | u32::from(*part.get(i).unwrap_or(&0)));
        for i in 0..4 {
            match i <= part.len() {
                true => out.push(DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}
