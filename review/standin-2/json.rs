//! A small JSON parser and writer.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum J {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<J>),
    Obj(Vec<(String, J)>),
}

impl J {
    pub fn get(&self, name: &str) -> &J {
        match self {
            J::Obj(fields) => fields.iter().find(|f| f.0 == name).map_or(&J::Null, |f| &f.1),
            _ => &J::Null,
        }
    }

    pub fn str(&self) -> Option<&str> {
        match self {
            J::Str(text) => Some(text),
            _ => None,
        }
    }

    pub fn u64(&self) -> Option<u64> {
        match self {
            J::Num(text) => text.parse().ok(),
            _ => None,
        }
    }
}

impl fmt::Display for J {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            J::Null => write!(out, "null"),
            J::Bool(b) => write!(out, "{b}"),
            J::Num(n) => write!(out, "{n}"),
            J::Str(s) => write!(out, "\"{}\"", s.replace('\\', "\\\\").replace('"', "\\\"")),
            J::Arr(items) => {
                write!(out, "[")?;
                for (i, item) in items.iter().enumerate() {
                    write!(out, "{}{item}", if i > 0 { "," } else { "" })?;
                }
                write!(out, "]")
            }
            J::Obj(fields) => {
                write!(out, "{{")?;
                for (i, (name, value)) in fields.iter().enumerate() {
                    write!(out, "{}\"{name}\":{value}", if i > 0 { "," } else { "" })?;
                }
                write!(out, "}}")
            }
        }
    }
}

pub fn parse(text: &str) -> Option<J> {
    let bytes = text.as_bytes();
    let mut at = 0;
    let value = value(bytes, &mut at)?;
    skip(bytes, &mut at);
    (at == bytes.len()).then_some(value)
}

fn skip(b: &[u8], at: &mut usize) {
    while b.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<J> {
    skip(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            skip(b, at);
            if *b.get(*at)? == b'}' {
                *at += 1;
                return Some(J::Obj(fields));
            }
            loop {
                skip(b, at);
                let name = string(b, at)?;
                skip(b, at);
                if *b.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                fields.push((name, value(b, at)?));
                skip(b, at);
                match *b.get(*at)? {
                    b',' => *at += 1,
                    b'}' => {
                        *at += 1;
                        return Some(J::Obj(fields));
                    }
                    _ => return None,
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            skip(b, at);
            if *b.get(*at)? == b']' {
                *at += 1;
                return Some(J::Arr(items));
            }
            loop {
                items.push(value(b, at)?);
                skip(b, at);
                match *b.get(*at)? {
                    b',' => *at += 1,
                    b']' => {
                        *at += 1;
                        return Some(J::Arr(items));
                    }
                    _ => return None,
                }
            }
        }
        b'"' => string(b, at).map(J::Str),
        b't' => word(b, at, "true", J::Bool(true)),
        b'f' => word(b, at, "false", J::Bool(false)),
        b'n' => word(b, at, "null", J::Null),
        _ => {
            let from = *at;
            while b.get(*at).is_some_and(|c| c.is_ascii_digit() || b"+-.eE".contains(c)) {
                *at += 1;
            }
            (*at > from).then(|| J::Num(String::from_utf8_lossy(&b[from..*at]).into_owned()))
        }
    }
}

fn word(b: &[u8], at: &mut usize, text: &str, value: J) -> Option<J> {
    let is_here = b[*at..].starts_with(text.as_bytes());
    *at += text.len();
    is_here.then_some(value)
}

fn string(b: &[u8], at: &mut usize) -> Option<String> {
    if *b.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *b.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                *at += 1;
                let c = *b.get(*at)?;
                if c == b'u' {
                    let hex = std::str::from_utf8(b.get(*at + 1..*at + 5)?).ok()?;
                    let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                    out.extend_from_slice(c.to_string().as_bytes());
                    *at += 5;
                    continue;
                }
                out.push(match c {
                    b'n' => b'\n',
                    b't' => b'\t',
                    b'r' => b'\r',
                    other => other,
                });
                *at += 1;
            }
            other => {
                out.push(other);
                *at += 1;
            }
        }
    }
}
