//! Measures the performance bounds that the project sets itself. See [`fireflylug_measure`].

fn main() -> std::process::ExitCode {
    fireflylug_measure::main()
}
