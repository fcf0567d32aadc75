//! Simulator adapter: reads batches of events from standard input and replies to each with the actions of the decision
//! module. Invalid input ends the process with one line on standard error and exit code 2.

mod host;
mod line;
#[cfg(test)]
mod tests;

use std::io::{BufRead, Write};
use std::process::ExitCode;

/// Serves until the input ends. An error names the input line.
fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = host::Host::default();
    let mut line_number = 0u64;
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        line_number += 1;
        let with_line = |error: String| format!("line {line_number}: {error}");
        let bytes_read = input
            .read_until(b'\n', &mut bytes)
            .map_err(|e| with_line(e.to_string()))?;
        if bytes_read == 0 && host.is_between_batches() {
            return Ok(());
        }
        if bytes.pop() != Some(b'\n') {
            return Err(with_line("input ended inside a batch".into()));
        }
        let text = std::str::from_utf8(&bytes).map_err(|_| with_line("not UTF-8".into()))?;
        if let Some(reply) = host.handle_line(text).map_err(with_line)? {
            let written = output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush());
            written.map_err(|e| format!("line {line_number}: cannot write the reply: {e}"))?;
        }
    }
}

fn main() -> ExitCode {
    match serve(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("passroad-wirehost: {error}");
            ExitCode::from(2)
        }
    }
}
