//! Measures the performance targets of the project. See [`fireflylug_measure`].

fn main() -> std::process::ExitCode {
    fireflylug_measure::main()
}
