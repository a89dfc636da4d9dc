//! The names and documents of the platform, which stand in `wire/`.

/// The name that the platform gives to a header, path, key or variable.
pub fn name(of: &str) -> &'static str {
    let lines = include_str!("../wire/names.txt").lines();
    let mut names = lines.filter_map(|line| line.split_once(' '));
    let found = names.find(|(key, _)| *key == of);
    found.expect("names.txt has all names").1
}

/// A document with these values in place of its `@names@`.
pub fn fill(document: &str, values: &[(&str, &str)]) -> String {
    let mut text = document.trim_end().to_owned();
    for (name, value) in values {
        text = text.replace(&format!("@{name}@"), value);
    }
    text
}
