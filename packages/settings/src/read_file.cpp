#include <snipeplank/settings/detail/read_file.hpp>

#include <array>
#include <fstream>

namespace snipeplank::settings::detail
{

core::result<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text;
    constexpr std::size_t chunk_bytes = 65'536;
    std::array<char, chunk_bytes> chunk{};
    const bool is_open = file.is_open();
    // read() reports a directory as a bad stream; stream buffer iterators would throw.
    while (is_open && (file.read(chunk.data(), chunk.size()) || file.gcount() > 0))
    {
        text.append(chunk.data(), static_cast<std::size_t>(file.gcount()));
    }
    if (!is_open || file.bad())
    {
        return core::fail(core::error_code::settings_unreadable, path + ": the file is unreadable",
                          "check that it is a file, that it exists and that this user may read it");
    }
    return text;
}

} // namespace snipeplank::settings::detail
