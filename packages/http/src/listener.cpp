#include <snipeplank/http/listener.hpp>

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>

namespace snipeplank::http
{

bool stop_handshakes(int listener)
{
    // The program sees a packet from its TCP header on; it returns how many bytes are kept.
    constexpr unsigned flags_offset = 13;
    constexpr unsigned syn = 0x02;
    constexpr unsigned ack = 0x10;
    constexpr unsigned keep = 0xFFFFFFFF;
    constexpr unsigned drop = 0;
    std::array<sock_filter, 5> program{{
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flags_offset),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, syn | ack),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, syn, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, drop),
        BPF_STMT(BPF_RET | BPF_K, keep),
    }};
    const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
    return ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)) == 0;
}

} // namespace snipeplank::http
