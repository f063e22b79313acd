#include "matrix.h"

#include <fstream>
#include <iostream>
#include <string>

int main(int argc, char **argv)
{
    const std::string page = jackdawlead::faults::page();
    if (argc == 3 && std::string(argv[1]) == "--write") {
        std::ofstream(argv[2]) << page;
        return 0;
    }
    if (argc != 1) {
        std::cerr << "usage: faultmatrix [--write FILE]\n";
        return 2;
    }
    std::cout << page;
    return 0;
}
