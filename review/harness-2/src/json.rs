//! Reads and writes JSON.

use std::fmt;

/// A JSON value. Numbers are kept as text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses `text`; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser { text: text.as_bytes(), position: 0 };
        let value = parser.value()?;
        parser.skip_blanks();
        (parser.position == parser.text.len()).then_some(value)
    }

    /// The member `name` of an object.
    pub fn get(&self, name: &str) -> Option<&Self> {
        let Self::Object(members) = self else { return None };
        members.iter().find(|(member, _)| member == name).map(|(_, value)| value)
    }

    pub fn as_str(&self) -> Option<&str> {
        if let Self::Text(text) = self { Some(text) } else { None }
    }

    pub fn as_u64(&self) -> Option<u64> {
        if let Self::Number(text) = self { text.parse().ok() } else { None }
    }

    pub fn as_list(&self) -> &[Self] {
        if let Self::List(values) = self { values } else { &[] }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => formatter.write_str("null"),
            Self::Bool(value) => write!(formatter, "{value}"),
            Self::Number(text) => formatter.write_str(text),
            Self::Text(text) => formatter.write_str(&quoted(text)),
            Self::List(values) => {
                formatter.write_str("[")?;
                for (index, value) in values.iter().enumerate() {
                    write!(formatter, "{}{value}", if index > 0 { "," } else { "" })?;
                }
                formatter.write_str("]")
            }
            Self::Object(members) => {
                formatter.write_str("{")?;
                for (index, (name, value)) in members.iter().enumerate() {
                    write!(formatter, "{}{}:{value}", if index > 0 { "," } else { "" }, quoted(name))?;
                }
                formatter.write_str("}")
            }
        }
    }
}

/// `text` as a JSON string.
pub fn quoted(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            control if control < ' ' => quoted.push_str(&format!("\\u{:04x}", control as u32)),
            other => quoted.push(other),
        }
    }
    quoted + "\""
}

struct Parser<'a> {
    text: &'a [u8],
    position: usize,
}

impl Parser<'_> {
    fn skip_blanks(&mut self) {
        while self.text.get(self.position).is_some_and(u8::is_ascii_whitespace) {
            self.position += 1;
        }
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        self.skip_blanks();
        (self.text.get(self.position) == Some(&expected)).then(|| self.position += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_next = self.text[self.position..].starts_with(word.as_bytes());
        self.position += word.len();
        is_next.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_blanks();
        match self.text.get(self.position)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.position += 1;
                let mut values = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(values));
                }
                loop {
                    values.push(self.value()?);
                    if self.take(b']').is_some() {
                        return Some(Json::List(values));
                    }
                    self.take(b',')?;
                }
            }
            b'{' => {
                self.position += 1;
                let mut members = Vec::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Object(members));
                }
                loop {
                    self.skip_blanks();
                    let name = self.string()?;
                    self.take(b':')?;
                    members.push((name, self.value()?));
                    if self.take(b'}').is_some() {
                        return Some(Json::Object(members));
                    }
                    self.take(b',')?;
                }
            }
            _ => {
                let is_part = |byte: &u8| byte.is_ascii_alphanumeric() || b"+-.".contains(byte);
                let length = self.text[self.position..].iter().take_while(|byte| is_part(byte)).count();
                let text = std::str::from_utf8(&self.text[self.position..self.position + length]).ok()?;
                self.position += length;
                text.parse::<f64>().ok()?;
                Some(Json::Number(text.to_owned()))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.position)?;
            self.position += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.text.get(self.position)?;
                    self.position += 1;
                    let character = match escape {
                        b'n' => '\n',
                        b'r' => '\r',
                        b't' => '\t',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.text.get(self.position..self.position + 4)?;
                            self.position += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                            char::from_u32(code).unwrap_or('\u{fffd}')
                        }
                        other => other as char,
                    };
                    bytes.extend_from_slice(character.to_string().as_bytes());
                }
                other => bytes.push(other),
            }
        }
    }
}
