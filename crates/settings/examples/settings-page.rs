//! Writes the settings reference page to standard output.

fn main() {
    print!("{}", heatherknot_settings::page::settings_page());
}
