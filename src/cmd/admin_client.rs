//! Queries to the administration API of a process, for `status` and `explain`.

use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;

/// Sends a GET request to the administration API of a process, and returns the JSON response.
pub(super) fn query_admin(
    address: SocketAddr,
    path: &str,
    query: &[(&str, &str)],
    token_file: Option<&Path>,
) -> Result<Value, Box<dyn Error>> {
    let token = token_file
        .map(|file| {
            std::fs::read_to_string(file)
                .map_err(|e| format!("{}: cannot be read: {e}", file.display()))
        })
        .transpose()?;
    let token = token.as_deref().map(str::trim);
    let runtime = tokio::runtime::Runtime::new()?;
    Ok(runtime.block_on(admin::get_json(address, path, query, token))?)
}

/// Formats a value for the terminal: strings without quotes, null as a dash.
pub(super) fn format_value(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
