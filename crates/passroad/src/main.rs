//! The program; everything is in the library.

fn main() -> std::process::ExitCode {
    passroad::from_arguments()
}
