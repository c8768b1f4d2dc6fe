//! Processes that a test starts, stops, freezes and ends.

use std::ffi::OsStr;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::OnceLock;

/// A signal that a test sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Asks the process to end.
    Terminate,
    /// Freezes the process.
    Stop,
    /// Lets a frozen process go on.
    Continue,
    /// Says that the settings have changed.
    Reload,
}

impl Signal {
    const fn flag(self) -> &'static str {
        match self {
            Self::Terminate => "-TERM",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
            Self::Reload => "-HUP",
        }
    }
}

/// A process that ends with the value.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a binary of this workspace. Its standard error goes to `log`, and its standard output to a
    /// file beside it that ends in `.out`.
    ///
    /// # Errors
    ///
    /// The error of the build, the log file or the start.
    pub fn start<I>(binary: &str, name: &str, args: I, log: &Path) -> io::Result<Self>
    where
        I: IntoIterator,
        I::Item: AsRef<OsStr>,
    {
        let program = binaries()?.join(binary);
        let output = std::fs::File::create(log.with_extension("out"))?;
        let log = std::fs::File::create(log)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// Name that the test gave it.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// The error of the command that sends it.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([signal.flag(), &pid]).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("{} is not running", self.name)))
        }
    }

    /// Ends the process at once.
    ///
    /// # Errors
    ///
    /// The error of the signal.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Whether the process has ended by itself.
    ///
    /// # Errors
    ///
    /// The error of the query.
    pub fn has_ended(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has ended already needs no killing.
        let _ = self.kill();
    }
}

/// Folder of this workspace's binaries, built once for each run.
///
/// # Errors
///
/// The error of the build.
pub fn binaries() -> io::Result<&'static Path> {
    static FOLDER: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    let folder = FOLDER.get_or_init(|| build().map_err(|err| err.to_string()));
    match folder {
        Ok(folder) => Ok(folder),
        Err(err) => Err(io::Error::other(err.as_str())),
    }
}

fn build() -> io::Result<PathBuf> {
    let is_release = !cfg!(debug_assertions);
    let mut cargo = Command::new(env!("CARGO"));
    cargo.args(["build", "--quiet", "--workspace", "--bins", "--locked"]);
    if is_release {
        cargo.arg("--release");
    }
    cargo.current_dir(env!("CARGO_MANIFEST_DIR"));
    if !cargo.status()?.success() {
        return Err(io::Error::other("the binaries cannot be built"));
    }
    profile_folder()
}

/// The nearest folder above the running program that holds the product's: the program itself may lie
/// there, or in `deps` or `examples` below it.
fn profile_folder() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let holds_product = |dir: &&Path| dir.join("citronhollow").is_file();
    program
        .ancestors()
        .skip(1)
        .find(holds_product)
        .map(Path::to_path_buf)
        .ok_or_else(|| io::Error::other("the program lies in no build folder"))
}
