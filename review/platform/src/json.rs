//! The little JSON that the stand-ins need: the raw text of the fields of an object.

/// Raw text of the field `name` of the object `text`; absent if there is no such field.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_space(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let key_end = skip_value(bytes, at);
        let key = &text[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        at = skip_space(bytes, at + 1);
        let value_end = skip_value(bytes, at);
        if key == name {
            return Some(text[at..value_end].trim());
        }
        at = skip_space(bytes, value_end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at = skip_space(bytes, at + 1);
    }
    None
}

/// Content of a field that holds a text without escapes.
pub fn text_field(text: &str, name: &str) -> Option<String> {
    let raw = field(text, name)?;
    Some(raw.strip_prefix('"')?.strip_suffix('"')?.to_owned())
}

/// Content of a field that holds a whole number.
pub fn number_field(text: &str, name: &str) -> Option<u64> {
    field(text, name)?.parse().ok()
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Index after the value that starts at `at`.
fn skip_value(bytes: &[u8], mut at: usize) -> usize {
    let mut depth = 0;
    loop {
        match bytes.get(at) {
            None => return at,
            Some(b'"') => {
                at += 1;
                while !matches!(bytes.get(at), None | Some(b'"')) {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
            }
            Some(b'{' | b'[') => {
                depth += 1;
                at += 1;
            }
            Some(b'}' | b']') if depth > 0 => {
                depth -= 1;
                at += 1;
            }
            Some(b'}' | b']') => return at,
            Some(b',') if depth == 0 => return at,
            Some(_) => {
                at += 1;
                continue;
            }
        }
        if depth == 0 {
            return at;
        }
    }
}
